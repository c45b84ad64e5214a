/** `tree diff`: shows what a file would change. */
import { Command, Option } from "clipanion";
import { compareTrees, getField, parseTreeFile, type RootNode } from "../version/index.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatChanges } from "./format.js";
import { throwFaults, TreeCommand } from "./tree-command.js";

/** Compares the current tree with a file. */
export class TreeDiffCommand extends TreeCommand {
    static override paths = [["tree", "diff"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "show what `tree set --file` would change",
        examples: [["Compare a file with the tree in force", "$0 tree diff --file tree.json"]],
    });

    file = Option.String("--file", { required: true, description: "File with a whole tree" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const parsed = parseTreeFile(await this.readTextFile(this.file));
        if (parsed.kind === "faults") {
            throwFaults(parsed.faults);
        }
        const { version, tree } = await this.readTree(client);
        const root = tree as RootNode;
        const changes = compareTrees(root, parsed.value)
            .map(change => ({ ...change, before: getField(root, change.path, change.field) }));
        const text = changes.length === 0 ? "no difference" : formatChanges(changes);
        this.print(`against version ${version}:\n${text}`, { version, changes });
        return ExitCode.success;
    }
}
