/** Starts crowds of misbehaving clients, and watches what the process under test holds meanwhile. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { sleep, systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { ClientEnd, CrowdOrder } from "./crowd-order.js";

/** A crowd in a process of its own. */
export interface Crowd {
    /** Makes all clients go on in the given way. */
    endClients(end: ClientEnd): void;
    /** Ends the process, with all connections. */
    close(): Promise<void>;
}

/** What a process has held at most. */
export interface Peak {
    readonly memoryKib: number;
    readonly descriptors: number;
}

export const HOST = "127.0.0.1";
const PROGRAM = fileURLToPath(new URL("crowd-process.ts", import.meta.url));
const SAMPLE_INTERVAL_MS: Millis = 20;
const POLL_INTERVAL_MS: Millis = 100;
/** A process that has not answered by then hangs. */
const HANG_MS: Millis = 60_000;

/** Starts a crowd. */
export function startCrowd(order: CrowdOrder): Crowd {
    const child = spawn(process.execPath, ["--import", "tsx", PROGRAM, JSON.stringify(order)], {
        stdio: ["pipe", "ignore", "inherit"],
    });
    // The process may have ended when a line is written.
    child.stdin.on("error", () => undefined);
    return {
        endClients: end => child.stdin.write(`${end}\n`),
        close: () => endProcess(child),
    };
}

/** Kills a process and waits for its end. */
export async function endProcess(child: ChildProcess): Promise<void> {
    const ended = new Promise(resolve => child.once("exit", resolve));
    if (child.kill("SIGKILL")) {
        await ended;
    }
}

/** Watches the open descriptors of a process until it is stopped. */
export function watchProcess(pid: number): { stop(): Promise<Peak>; } {
    let descriptors = 0;
    let isStopped = false;
    async function sample(): Promise<void> {
        while (!isStopped) {
            descriptors = Math.max(descriptors, countDescriptors(pid));
            await sleep(systemClock, SAMPLE_INTERVAL_MS);
        }
    }
    const sampling = sample();
    return {
        async stop() {
            isStopped = true;
            await sampling;
            return { memoryKib: readPeakMemory(pid), descriptors };
        },
    };
}

/** Waits until a condition holds; throws if it does not within the time after which a process counts as hung. */
export async function waitFor(what: string, isMet: () => Promise<boolean>): Promise<void> {
    const startedAt = systemClock.now();
    while (!await isMet().catch(() => false)) {
        if (systemClock.now() - startedAt > HANG_MS) {
            throw new Error(`${what}: not within ${HANG_MS} ms`);
        }
        await sleep(systemClock, POLL_INTERVAL_MS);
    }
}

/** Returns 0 if the process is gone. */
function countDescriptors(pid: number): number {
    try {
        return readdirSync(`/proc/${pid}/fd`).length;
    }
    catch {
        return 0;
    }
}

/** Returns the peak of the resident memory, as counted by the kernel; 0 if the process is gone. */
function readPeakMemory(pid: number): number {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        return Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
    }
    catch {
        return 0;
    }
}
