/** `tree effective`: prints the effective settings of a branch. */
import { Command, Option } from "clipanion";
import type { EffectiveValue } from "../process/operator-gateway.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { formatJsonValue, formatTable } from "./format.js";
import { TREE_PATH, TreeCommand } from "./tree-command.js";

/** Prints every effective value of a branch with its origin. */
export class TreeEffectiveCommand extends TreeCommand {
    static override paths = [["tree", "effective"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "print the effective settings of a branch and where each comes from",
        examples: [
            ["Print those of a branch", "$0 tree effective services/catalogo-beni"],
            ["Print those of the root and the cell", "$0 tree effective"],
        ],
    });

    branch = Option.String({ required: false, name: "BRANCH" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const query = `path=${encodeURIComponent(this.branch ?? "")}`;
        const value = await this.require(client, "GET", `${TREE_PATH}/effective?${query}`);
        const { values } = value as { readonly values: readonly EffectiveValue[]; };
        const rows = values.map(each => [each.field, formatJsonValue(each.value), each.origin || "(root)"]);
        this.print(formatTable([["FIELD", "VALUE", "FROM"], ...rows]), values);
        return ExitCode.success;
    }
}
