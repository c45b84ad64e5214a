/** `explain`: explains the current state and placement of a job. */
import { Command, Option } from "clipanion";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { JobCommand } from "./job-command.js";

/** Prints what a job waits for, or why its tasks run where they do. */
export class ExplainCommand extends JobCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "explain what a job waits for, or why its tasks run where they do",
        examples: [["Explain a job", "$0 explain JOB"]],
    });

    jobId = Option.String({ name: "JOB" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const value = await this.require(client, "GET", `${this.getJobPath(this.jobId)}/explain`);
        const { lines } = value as { readonly lines: readonly string[]; };
        this.print(lines.length === 0 ? "nothing is known of it here" : lines.join("\n"), {
            jobId: this.jobId,
            lines,
        });
        return ExitCode.success;
    }
}
