/** Base class of all commands: output as text or JSON, and conversion of errors to exit codes. */
import { Command, Option, UsageError } from "clipanion";
import { readFile } from "node:fs/promises";
import type { SettingsFault } from "../process/operator-gateway.js";
import { ExitCode } from "./exit-code.js";
import { formatFaults } from "./format.js";

/** Thrown to end a command with a message and an exit code. */
export class CommandFailure extends Error {
    /**
     * @param message - What went wrong and what the user can do about it.
     * @param details - Additional fields of the `--json` output.
     */
    constructor(
        readonly code: ExitCode,
        message: string,
        readonly details: Readonly<Record<string, unknown>> = {},
    ) {
        super(message);
    }
}

/** Base class of all commands. */
export abstract class BaseCommand extends Command {
    json = Option.Boolean("--json", false, { description: "Print JSON for programs" });

    /** Runs the command; throws {@link CommandFailure} to end it early. */
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
     * Prints a result on standard output.
     * @param text - Output without `--json`.
     * @param value - Output with `--json`.
     */
    protected print(text: string, value: unknown): void {
        const output = this.json ? JSON.stringify(value, undefined, 4) : text;
        this.context.stdout.write(output.endsWith("\n") ? output : `${output}\n`);
    }

    /**
     * Prints settings faults.
     * @param validMessage - Text printed if there are no faults.
     * @returns The exit code.
     */
    protected printFaults(faults: readonly SettingsFault[], validMessage: string): ExitCode {
        const isValid = faults.length === 0;
        this.print(isValid ? validMessage : formatFaults(faults), { valid: isValid, faults });
        return isValid ? ExitCode.success : ExitCode.usage;
    }

    /** Reads a file given by the user; throws {@link CommandFailure} if that fails. */
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
    return new CommandFailure(ExitCode.failed, `internal error, please report it: ${text}`);
}
