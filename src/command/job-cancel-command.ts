/** `job cancel`: cancels a job at its caller's request. */
import { Command, Option } from "clipanion";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJob, JobCommand, type JobView } from "./job-command.js";

/** Cancels a job. Idempotent. */
export class JobCancelCommand extends JobCommand {
    static override paths = [["job", "cancel"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "cancel a job",
        details:
            "Waiting tasks are dropped and running ones stopped. Repeating the command has no further effect.",
        examples: [["Cancel a job", "$0 job cancel JOB"]],
    });

    jobId = Option.String({ name: "JOB" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const job = await this.require(client, "POST", `${this.getJobPath(this.jobId)}/cancel`) as JobView;
        this.print(formatJob(job), job);
        return ExitCode.success;
    }
}
