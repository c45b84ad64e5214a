/** `job show`: prints the state of a job. */
import { Command, Option, UsageError } from "clipanion";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJob, JobCommand, type JobView } from "./job-command.js";

/** Prints a job, optionally after waiting for its end. */
export class JobShowCommand extends JobCommand {
    static override paths = [["job", "show"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "print the state of a job and where its tasks run",
        examples: [
            ["Print it", "$0 job show JOB"],
            ["Wait up to ten seconds for its end first", "$0 job show JOB --wait-ms 10000"],
        ],
    });

    jobId = Option.String({ name: "JOB" });
    waitMs = Option.String("--wait-ms", "0", { description: "Maximum wait for its end, in milliseconds" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        if (!/^\d{1,6}$/.test(this.waitMs)) {
            throw new UsageError(
                `--wait-ms must be milliseconds from 0 to 999999, not ${JSON.stringify(this.waitMs)}`,
            );
        }
        const query = this.waitMs === "0" ? "" : `?waitMs=${this.waitMs}`;
        const job = await this.require(client, "GET", `${this.getJobPath(this.jobId)}${query}`) as JobView;
        this.print(formatJob(job), job);
        return ExitCode.success;
    }
}
