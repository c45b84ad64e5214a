/** `job cancel`: ends a job at its caller's wish. */
import { Command, Option } from "clipanion";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJob, JobCommand, type ShownJob } from "./job-command.js";

/** Cancels a job; repeating it has no further effect. */
export class JobCancelCommand extends JobCommand {
    static override paths = [["job", "cancel"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "cancel a job",
        details: "Tasks that wait are dropped and running ones stopped. Repeating it has no further effect.",
        examples: [["Cancel a job", "$0 job cancel JOB"]],
    });

    jobId = Option.String({ name: "JOB" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const job = await this.require(client, "POST", `${this.getPath(this.jobId)}/cancel`) as ShownJob;
        this.print(formatJob(job), job);
        return ExitCode.fine;
    }
}
