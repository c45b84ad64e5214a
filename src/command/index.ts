/** The command line: `cactusrack COMMAND`. */
import { Builtins, Cli } from "clipanion";

/** Version of the program, as printed by `--version`. */
export const PROGRAM_VERSION = "0.1.0";

/**
 * Runs one command.
 * @param args - Arguments after the program's name.
 * @returns The exit code: 0 fine, 1 the operation failed, 2 bad usage or settings.
 */
export async function runCommandLine(args: readonly string[]): Promise<number> {
    const cli = new Cli({
        binaryLabel: "cactusrack",
        binaryName: "cactusrack",
        binaryVersion: PROGRAM_VERSION,
    });
    cli.register(Builtins.HelpCommand);
    cli.register(Builtins.VersionCommand);
    return await cli.run([...args]);
}
