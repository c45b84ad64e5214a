/** `tree check`: a file by itself, or a dry run of an edit. */
import { Command, Option, UsageError } from "clipanion";
import type { DryRunReport } from "../process/operator-gateway.js";
import { parseTreeFile } from "../version/index.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatConflicts, formatFaults, formatJsonValue } from "./format.js";
import { parseChanges, TREE_PATH, TreeCommand } from "./tree-command.js";

/** Checks a file, or shows what an edit would do without making it. */
export class TreeCheckCommand extends TreeCommand {
    static override paths = [["tree", "check"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "check a tree file, or show what an edit would do",
        details: `
            With \`--file\` the file is checked here, and no entry is asked. With changes the entry says which branches
            would change and what that means for work that waits; nothing is written.
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
            throw new UsageError("name a file by --file, or changes as BRANCH:FIELD=VALUE, and not both");
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
        return report.conflicts.length > 0 ? ExitCode.failed : ExitCode.fine;
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
