/** What all commands share: output for people or programs, and errors as exit codes. */
import { Command, Option, UsageError } from "clipanion";
import { readFile } from "node:fs/promises";
import type { SettingsFault } from "../process/operator-gateway.js";
import { ExitCode } from "./exit-code.js";
import { formatFaults } from "./format.js";

/** Ends a command with a message for people and an exit code. */
export class CommandFailure extends Error {
    /**
     * @param code - Exit code.
     * @param message - What went wrong and what to do, in words.
     * @param details - What `--json` prints.
     */
    constructor(
        readonly code: ExitCode,
        message: string,
        readonly details: Readonly<Record<string, unknown>> = {},
    ) {
        super(message);
    }
}

/** A command of the program. */
export abstract class BaseCommand extends Command {
    json = Option.Boolean("--json", false, { description: "Print JSON for programs" });

    /** Does the work; a {@link CommandFailure} ends it early. */
    protected abstract run(): Promise<ExitCode>;

    override async execute(): Promise<number> {
        try {
            return await this.run();
        }
        catch (error) {
            const failure = convertError(error);
            this.reportFailure(failure);
            return failure.code;
        }
    }

    /**
     * Prints a result.
     * @param text - For people.
     * @param value - For programs.
     */
    protected print(text: string, value: unknown): void {
        const output = this.json ? JSON.stringify(value, undefined, 4) : text;
        this.context.stdout.write(output.endsWith("\n") ? output : `${output}\n`);
    }

    /**
     * Prints faults of settings.
     * @param faults - The faults; empty when there are none.
     * @param fine - What people read when there are none.
     * @returns The exit code.
     */
    protected printFaults(faults: readonly SettingsFault[], fine: string): ExitCode {
        const isFine = faults.length === 0;
        this.print(isFine ? fine : formatFaults(faults), { valid: isFine, faults });
        return isFine ? ExitCode.fine : ExitCode.usage;
    }

    /**
     * Reads a file that the user named.
     * @param path - Its path.
     */
    protected async readTextFile(path: string): Promise<string> {
        try {
            return await readFile(path, "utf8");
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            throw new CommandFailure(ExitCode.usage, `cannot read ${path}: ${reason}`);
        }
    }

    private reportFailure(failure: CommandFailure): void {
        if (this.json) {
            this.context.stdout.write(
                `${JSON.stringify({ error: failure.message, ...failure.details }, undefined, 4)}\n`,
            );
            return;
        }
        this.context.stderr.write(`${failure.message}\n`);
    }
}

function convertError(error: unknown): CommandFailure {
    if (error instanceof CommandFailure) {
        return error;
    }
    if (error instanceof UsageError) {
        return new CommandFailure(ExitCode.usage, error.message);
    }
    const text = error instanceof Error ? error.stack ?? error.message : String(error);
    return new CommandFailure(ExitCode.failed, `fault in the program, please report it: ${text}`);
}
