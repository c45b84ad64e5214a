/** `entry`: runs an entry, the server of a cell. */
import { Command, Option } from "clipanion";
import { systemClock } from "../common/clock.js";
import { type EntrySettings, parseEntrySettings } from "../process/entry-settings/index.js";
import {
    createDescriptorOutput,
    createPinoLog,
    createSilentMetrics,
    createStatsMetrics,
} from "../process/sinks/index.js";
import { createProcessRandom, makeMemberId, startEntry } from "../process/start-entry.js";
import type { Metrics } from "../process/telemetry.js";
import { BaseCommand, CommandFailure } from "./base-command.js";
import { ExitCode } from "./exit-code.js";
import { waitForSignal } from "./wait-for-signal.js";

const STANDARD_OUTPUT = 1;

/** Runs an entry until SIGTERM or SIGINT. */
export class EntryCommand extends BaseCommand {
    static override paths = [["entry"]];
    static override usage = Command.Usage({
        category: "Entry",
        description: "run an entry of a cell",
        details: `
            Serves callers and operators until SIGTERM or SIGINT, then shuts down gracefully: the readiness check
            fails, requests in flight are answered, slices are handed over, and the process exits with 0. A second
            signal ends it immediately. Log lines go to standard output as JSON.
        `,
        examples: [["Run an entry", "$0 entry --settings entry.json"]],
    });

    settings = Option.String("--settings", { required: true, description: "Path of the settings file" });

    protected override async run(): Promise<ExitCode> {
        const parsed = parseEntrySettings(await this.readTextFile(this.settings));
        if (parsed.kind === "faults") {
            return this.printFaults(parsed.faults, "");
        }
        return await serve(parsed.value);
    }
}

async function serve(settings: EntrySettings): Promise<ExitCode> {
    const random = createProcessRandom();
    const memberId = makeMemberId(settings.memberName, random);
    const clock = systemClock;
    const output = createDescriptorOutput(STANDARD_OUTPUT, clock);
    const log = createPinoLog({ level: settings.logLevel, memberId, output, clock });
    const metrics = openMetrics(settings, memberId);
    const running = await startEntry({ settings, memberId, clock, random, log, metrics }).catch(
        throwStartFailure,
    );
    log.info("serving", { ...running.self });
    const signal = await waitForSignal();
    log.info("signal received", { signal });
    await running.leave();
    await metrics.close();
    await log.close();
    return ExitCode.success;
}

function openMetrics(settings: EntrySettings, memberId: string): Metrics & { close(): Promise<void>; } {
    if (settings.metrics === undefined) {
        return { ...createSilentMetrics(), close: () => Promise.resolve() };
    }
    return createStatsMetrics({ ...settings.metrics, tags: { cell: settings.cell, member: memberId } });
}

function throwStartFailure(error: unknown): never {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandFailure(
        ExitCode.failed,
        `the entry failed to start: ${reason}; check the addresses and ports in the settings`,
    );
}
