/** `explain`: why a job is where it is. */
import { Command, Option } from "clipanion";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { JobCommand } from "./job-command.js";

/** Says in words what a job waits for, or why it runs where it runs. */
export class ExplainCommand extends JobCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Jobs",
        description: "say in words what a job waits for, or why its tasks are where they are",
        examples: [["Explain a job", "$0 explain JOB"]],
    });

    jobId = Option.String({ name: "JOB" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const value = await this.require(client, "GET", `${this.getPath(this.jobId)}/explain`);
        const { lines } = value as { readonly lines: readonly string[]; };
        this.print(lines.length === 0 ? "nothing is known of it here" : lines.join("\n"), {
            jobId: this.jobId,
            lines,
        });
        return ExitCode.fine;
    }
}
