/** Command line interface: `cactusrack COMMAND`. */
import { type BaseContext, Builtins, Cli, type Command, type CommandClass } from "clipanion";
import { CheckCommand } from "./check-command.js";
import { DemoCommand } from "./demo-command.js";
import { EntryCommand } from "./entry-command.js";
import { ExitCode } from "./exit-code.js";
import { ExplainCommand } from "./explain-command.js";
import { JobCancelCommand } from "./job-cancel-command.js";
import { JobShowCommand } from "./job-show-command.js";
import { JobSubmitCommand } from "./job-submit-command.js";
import { StatusCommand } from "./status-command.js";
import { TreeCheckCommand } from "./tree-check-command.js";
import { TreeDiffCommand } from "./tree-diff-command.js";
import { TreeEffectiveCommand } from "./tree-effective-command.js";
import { TreeGetCommand } from "./tree-get-command.js";
import { TreeHistoryCommand } from "./tree-history-command.js";
import { TreeSetCommand } from "./tree-set-command.js";

/** Program version, as printed by `--version`. */
export const PROGRAM_VERSION = "0.1.0";

const COMMANDS: readonly CommandClass[] = [
    Builtins.HelpCommand,
    Builtins.VersionCommand,
    CheckCommand,
    DemoCommand,
    EntryCommand,
    ExplainCommand,
    JobCancelCommand,
    JobShowCommand,
    JobSubmitCommand,
    StatusCommand,
    TreeCheckCommand,
    TreeDiffCommand,
    TreeEffectiveCommand,
    TreeGetCommand,
    TreeHistoryCommand,
    TreeSetCommand,
];

/**
 * Runs one command.
 * @param args - Arguments after the program name.
 * @param streams - Output streams; default to those of the process.
 * @returns The exit code: 0 for success, 1 if the operation failed, 2 for invalid arguments or settings.
 */
export async function runCommandLine(
    args: readonly string[],
    streams: Partial<Pick<BaseContext, "stdout" | "stderr">> = {},
): Promise<number> {
    const context = { ...Cli.defaultContext, ...streams };
    const cli = new Cli({
        binaryLabel: "cactusrack",
        binaryName: "cactusrack",
        binaryVersion: PROGRAM_VERSION,
        enableColors: process.stdout.isTTY,
    });
    COMMANDS.forEach(command => cli.register(command));
    let command: Command;
    try {
        command = cli.process([...args], context);
    }
    catch (error) {
        context.stderr.write(cli.error(error, { colored: false }));
        return ExitCode.usage;
    }
    return await cli.run(command, context);
}
