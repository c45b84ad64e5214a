/** One node of the cluster as a process of its own, with the signals that a machine's operator or fate may send. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import type { WriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { sleep, systemClock } from "../../src/common/clock.js";

/** Where a process answers; known from its first lines. */
export interface NodePorts {
    readonly callers: number;
    readonly metrics: number;
}

/** What starts a process. */
export interface NodeCommand {
    readonly name: string;
    readonly program: string;
    readonly environment: Readonly<Record<string, string>>;
    /** File that takes its log. */
    readonly logPath: string;
}

/**
 * A signal that arrives this soon may meet the runtime before the program's first instruction, when nobody can handle
 * it: Node takes 40 ms to get there, and several times that while all nodes start again at once.
 */
const RUNTIME_START_MS = 500;
/** A process that ended is started again after this long, as the machines' supervisor does it. */
const RESTART_MS = 300;
const START_LINE = "processStarted";

/** The process, through all its lives. */
export class NodeProcess {
    private child: ChildProcess | undefined;
    private ports: NodePorts | undefined;
    private readonly log: WriteStream;
    private closed = false;
    private lives = 0;
    private startedAt = 0;
    /** Ends that no signal of the soak explains. */
    readonly ownEnds: string[] = [];
    private isEndExpected = false;
    private hasExited = false;

    constructor(private readonly command: NodeCommand) {
        this.log = createWriteStream(command.logPath, { flags: "a" });
        this.start();
    }

    get name(): string {
        return this.command.name;
    }

    /** `host:port` for callers; undefined while no life has opened its port. */
    getCallerAddress(): string | undefined {
        return this.ports === undefined ? undefined : `127.0.0.1:${this.ports.callers}`;
    }

    /** Sends a signal; ends that follow it are expected. */
    sendSignal(signal: NodeJS.Signals): void {
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            this.isEndExpected = true;
        }
        this.child?.kill(signal);
    }

    /** Ends the process for good. */
    async close(): Promise<void> {
        this.closed = true;
        const { child } = this;
        if (child !== undefined && !this.hasExited) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGCONT");
            child.kill("SIGKILL");
            await ended;
        }
        await new Promise<void>(resolve => this.log.end(resolve));
    }

    private start(): void {
        this.lives += 1;
        this.startedAt = systemClock.now();
        this.isEndExpected = false;
        this.hasExited = false;
        const child = spawn(process.execPath, [this.command.program], {
            env: { ...this.command.environment, PATH: process.env.PATH ?? "" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        createInterface({ input: child.stdout }).on("line", line => this.receiveLine(line));
        createInterface({ input: child.stderr }).on("line", line => this.log.write(`stderr ${line}\n`));
        child.once("exit", (code, signal) => void this.handleExit(code, signal));
    }

    private receiveLine(line: string): void {
        if (!this.log.writableEnded) {
            this.log.write(`${line}\n`);
        }
        if (line.includes(`"${START_LINE}"`)) {
            const { ports } = JSON.parse(line) as { ports: NodePorts; };
            this.ports = ports;
        }
    }

    private async handleExit(code: unknown, signal: unknown): Promise<void> {
        this.ports = undefined;
        const isTooEarly = signal === "SIGHUP" && systemClock.now() - this.startedAt < RUNTIME_START_MS;
        if (!this.isEndExpected && !isTooEarly && !this.closed) {
            this.ownEnds.push(
                `${this.name}, life ${this.lives}: code ${String(code)}, signal ${String(signal)}`,
            );
        }
        this.hasExited = true;
        await sleep(systemClock, RESTART_MS);
        if (!this.closed) {
            this.start();
        }
    }
}
