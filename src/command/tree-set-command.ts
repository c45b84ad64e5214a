/** `tree set`: edits the tree. */
import { Command, Option, UsageError } from "clipanion";
import type { FieldChange } from "../process/operator-gateway.js";
import { compareTrees, parseTreeFile, type RootNode } from "../version/index.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { parseChanges, throwFaults, TreeCommand } from "./tree-command.js";

/** Edits single fields of the tree, or replaces the tree with the content of a file. */
export class TreeSetCommand extends TreeCommand {
    static override paths = [["tree", "set"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "edit the tree",
        details: `
            Changes single fields, or with \`--file\` whatever differs between the tree in force and a file. The edit
            is checked as a whole before it is written. Concurrent edits are merged; where both changed the same
            field, the conflict is shown with all values.

            If the answer says that the outcome is uncertain, send the edit again with the \`--edit-id\` that was
            printed: it is never applied twice.
        `,
        examples: [
            ["Set a field of a branch", "$0 tree set batch/season-rebuild:queueLimit=2000"],
            ["Let a branch inherit a field again", "$0 tree set batch/season-rebuild:queueLimit=inherit"],
            ["Set the weight of a team", "$0 tree set :teams.councils.weight=2"],
            [
                "Add a branch that only logs at first",
                "$0 tree set batch/sweeps:kind=batch batch/sweeps:adoption=shadow",
            ],
            ["Bring in a whole tree", "$0 tree set --file tree.json"],
        ],
    });

    file = Option.String("--file", { description: "File with a whole tree" });
    editId = Option.String("--edit-id", { description: "Id of an edit that is being sent again" });
    base = Option.String("--base", {
        description: "Version that the edit is based on; defaults to the current one",
    });
    changes = Option.Rest({ name: "BRANCH:FIELD=VALUE" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        if ((this.file === undefined) === (this.changes.length === 0)) {
            throw new UsageError("specify either changes as BRANCH:FIELD=VALUE or a file with --file");
        }
        const namedChanges = parseChanges(this.changes);
        const { version, tree } = await this.readTree(client);
        const changes = this.file === undefined ?
            namedChanges :
            await this.compareWithFile(this.file, tree as RootNode);
        if (changes.length === 0) {
            this.print(`nothing to change: the file is the tree of version ${version}`, {
                kind: "unchanged",
                version,
            });
            return ExitCode.success;
        }
        return await this.submitEdit(
            client,
            this.buildEdit(changes, parseBaseVersion(this.base) ?? version, this.editId),
        );
    }

    private async compareWithFile(file: string, tree: RootNode): Promise<readonly FieldChange[]> {
        const parsed = parseTreeFile(await this.readTextFile(file));
        return parsed.kind === "faults" ? throwFaults(parsed.faults) : compareTrees(tree, parsed.value);
    }
}

function parseBaseVersion(text: string | undefined): number | undefined {
    if (text === undefined) {
        return undefined;
    }
    if (!/^\d{1,15}$/.test(text)) {
        throw new UsageError(`--base must be a version, a whole number, not ${JSON.stringify(text)}`);
    }
    return Number(text);
}
