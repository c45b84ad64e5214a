/** `tree get`: prints the current tree. */
import { Command, Option } from "clipanion";
import type { TreeNode } from "../version/index.js";
import { CommandFailure } from "./base-command.js";
import type { EntryClient } from "./entry-client.js";
import { ExitCode } from "./exit-code.js";
import { TreeCommand } from "./tree-command.js";

/** Prints the current tree, or one branch with its descendants, as JSON. */
export class TreeGetCommand extends TreeCommand {
    static override paths = [["tree", "get"]];
    static override usage = Command.Usage({
        category: "Settings tree",
        description: "print the tree in force as JSON",
        details:
            "The version is printed to standard error, so that the output can be edited and passed to `tree set --file`.",
        examples: [
            ["Print the whole tree", "$0 tree get"],
            ["Print one branch with those below it", "$0 tree get batch/season-rebuild"],
        ],
    });

    branch = Option.String({ required: false, name: "BRANCH" });

    protected override async runWith(client: EntryClient): Promise<ExitCode> {
        const { version, tree } = await this.readTree(client);
        const branch = findBranch(tree as TreeNode, this.branch ?? "");
        if (branch === undefined) {
            throw new CommandFailure(ExitCode.failed, `no branch "${this.branch}" in version ${version}`);
        }
        this.print(JSON.stringify(branch, undefined, 4), { version, tree: branch });
        if (!this.json) {
            this.context.stderr.write(`version ${version}\n`);
        }
        return ExitCode.success;
    }
}

function findBranch(root: TreeNode, path: string): TreeNode | undefined {
    const names = path === "" ? [] : path.split("/");
    return names.reduce<TreeNode | undefined>((node, name) => node?.children?.[name], root);
}
