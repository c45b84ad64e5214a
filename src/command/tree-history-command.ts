/** `tree history`: prints the latest edits. */
import { Command, Option, UsageError } from "clipanion";
import type { EditRecord } from "../process/operator-gateway.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatChanges } from "./format.js";
import { TREE_PATH, TreeCommand } from "./tree-command.js";

const DEFAULT_LIMIT = "20";

/** Prints the latest edits, newest first. */
export class TreeHistoryCommand extends TreeCommand {
    static override paths = [["tree", "history"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "print the last edits, the newest first",
        examples: [["Print the last five", "$0 tree history --limit 5"]],
    });

    limit = Option.String("--limit", DEFAULT_LIMIT, { description: "Maximum number of edits to print" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        if (!/^[1-9]\d{0,3}$/.test(this.limit)) {
            throw new UsageError(
                `--limit must be a number from 1 to 9999, not ${JSON.stringify(this.limit)}`,
            );
        }
        const value = await this.require(client, "GET", `${TREE_PATH}/history?limit=${this.limit}`);
        const { edits } = value as { readonly edits: readonly EditRecord[]; };
        this.print(edits.length === 0 ? "no edits" : edits.map(formatEdit).join("\n"), edits);
        return ExitCode.success;
    }
}

function formatEdit({ version, author, wallMs, editId, changes }: EditRecord): string {
    return `version ${version}  ${new Date(wallMs).toISOString()}  ${author}  ${editId}\n${
        formatChanges(changes)
    }`;
}
