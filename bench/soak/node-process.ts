/** Runs one cluster node as a child process, sends it signals and restarts it when it exits. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import type { WriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { sleep, systemClock } from "../../src/common/clock.js";

/** Ports on which a process listens, as read from its start line. */
export interface NodePorts {
    readonly callers: number;
    readonly metrics: number;
}

export interface NodeCommand {
    readonly name: string;
    readonly program: string;
    readonly environment: Readonly<Record<string, string>>;
    /** File to which its output is appended. */
    readonly logPath: string;
}

/**
 * A signal within this time of the start may arrive before the program has installed its handlers and end the process:
 * Node takes 40 ms to run the first instruction, and several times that while all nodes restart at once.
 */
const RUNTIME_START_MS = 500;
/** Delay before an exited process is restarted, as a supervisor on the VM would do. */
const RESTART_MS = 300;
const START_EVENT = "processStarted";

/** A supervised node process, across all its incarnations. */
export class NodeProcess {
    private child: ChildProcess | undefined;
    private ports: NodePorts | undefined;
    private readonly log: WriteStream;
    private closed = false;
    private incarnations = 0;
    private startedAt = 0;
    /** Descriptions of exits that no signal of the soak explains. */
    readonly unexpectedExits: string[] = [];
    private isExitExpected = false;
    private hasExited = false;

    constructor(private readonly command: NodeCommand) {
        this.log = createWriteStream(command.logPath, { flags: "a" });
        this.start();
    }

    get name(): string {
        return this.command.name;
    }

    /** `host:port` for callers; undefined while the process has no open port. */
    getCallerAddress(): string | undefined {
        return this.ports === undefined ? undefined : `127.0.0.1:${this.ports.callers}`;
    }

    /** Sends a signal; an exit after SIGKILL or SIGTERM is expected. */
    sendSignal(signal: NodeJS.Signals): void {
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            this.isExitExpected = true;
        }
        this.child?.kill(signal);
    }

    /** Kills the process without a restart and closes its log. */
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
        this.incarnations += 1;
        this.startedAt = systemClock.now();
        this.isExitExpected = false;
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
        if (line.includes(`"${START_EVENT}"`)) {
            const { ports } = JSON.parse(line) as { ports: NodePorts; };
            this.ports = ports;
        }
    }

    private async handleExit(code: unknown, signal: unknown): Promise<void> {
        this.ports = undefined;
        const isTooEarly = signal === "SIGHUP" && systemClock.now() - this.startedAt < RUNTIME_START_MS;
        if (!this.isExitExpected && !isTooEarly && !this.closed) {
            this.unexpectedExits.push(
                `${this.name}, incarnation ${this.incarnations}: code ${String(code)}, signal ${
                    String(signal)
                }`,
            );
        }
        this.hasExited = true;
        await sleep(systemClock, RESTART_MS);
        if (!this.closed) {
            this.start();
        }
    }
}
