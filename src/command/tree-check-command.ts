/** `tree check`: validates a tree file, or performs a dry run of an edit. */
import { Command, Option, UsageError } from "clipanion";
import type { DryRunReport } from "../process/operator-gateway.js";
import { parseTreeFile } from "../version/index.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatConflicts, formatFaults, formatJsonValue } from "./format.js";
import { parseChanges, TREE_PATH, TreeCommand } from "./tree-command.js";

/** Validates a file locally, or asks an entry for the effects of an edit without applying it. */
export class TreeCheckCommand extends TreeCommand {
    static override paths = [["tree", "check"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "check a tree file, or show what an edit would do",
        details: `
            With \`--file\` the file is checked locally, without an entry. With changes the entry reports which branches
            would change and what that means for waiting work; nothing is written.
        `,
        examples: [
            ["Check a file", "$0 tree check --file tree.json"],
            ["Show the effect of an edit", "$0 tree check batch/season-rebuild:adoption=on"],
        ],
    });

    file = Option.String("--file", { description: "File with a whole tree" });
    changes = Option.Rest({ name: "BRANCH:FIELD=VALUE" });

    protected override async run(): Promise<ExitCode> {
        if ((this.file === undefined) === (this.changes.length === 0)) {
            throw new UsageError("specify either a file with --file or changes as BRANCH:FIELD=VALUE");
        }
        return this.file === undefined ? await super.run() : await this.checkFile(this.file);
    }

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const changes = parseChanges(this.changes);
        const { version } = await this.readTree(client);
        const edit = this.buildEdit(changes, version, undefined);
        const report = await this.require(client, "POST", `${TREE_PATH}/check`, edit) as DryRunReport;
        this.print(formatReport(report), report);
        if (report.faults.length > 0) {
            return ExitCode.usage;
        }
        return report.conflicts.length > 0 ? ExitCode.failed : ExitCode.success;
    }

    private async checkFile(file: string): Promise<ExitCode> {
        const parsed = parseTreeFile(await this.readTextFile(file));
        return this.printFaults(parsed.kind === "faults" ? parsed.faults : [], `${file}: no fault`);
    }
}

function formatReport({ faults, conflicts, changedBranches }: DryRunReport): string {
    if (faults.length > 0) {
        return formatFaults(faults);
    }
    if (conflicts.length > 0) {
        return formatConflicts(conflicts);
    }
    if (changedBranches.length === 0) {
        return "no branch would change";
    }
    return changedBranches
        .map(({ path, fields, effect }) =>
            [
                path,
                ...fields.map(({ field, before, after }) =>
                    `  ${field}  ${formatJsonValue(before)} -> ${formatJsonValue(after)}`
                ),
                `  effect: ${effect}`,
            ].join("\n")
        )
        .join("\n");
}
