/** Starts a program of the product as the process that crowds press on. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { Agent, request } from "undici";
import type { Millis } from "../../common/clock.js";
import type { ProcessUnderTest } from "./crowd-check.js";
import { endProcess, HOST, waitFor } from "./crowd.js";

/** A program to start, and how to tell that it serves. */
export interface SubjectOptions<Ports> {
    /** Arguments of Node. */
    readonly commandLine: readonly string[];
    readonly environment: Readonly<Record<string, string>>;
    /** File to which its output is written. */
    readonly logPath: string;
    /** Returns the ports that a log line names; undefined if it names none. */
    readonly parsePorts: (line: string) => Ports | undefined;
    /** Ordinary requests by name; each returns whether it was answered as it should be. */
    readonly buildRequests: (ports: Ports) => Readonly<Record<string, () => Promise<boolean>>>;
}

/** A process that serves. */
export interface Subject<Ports> extends Pick<ProcessUnderTest, "pid" | "isServing" | "getExit"> {
    readonly ports: Ports;
    close(): Promise<void>;
}

/** After this an ordinary client asks again. */
const PATIENCE_MS: Millis = 3_000;

/** Starts a program and waits until it serves. */
export async function startSubject<Ports>(options: SubjectOptions<Ports>): Promise<Subject<Ports>> {
    const log = createWriteStream(options.logPath);
    const child = spawn(process.execPath, options.commandLine, {
        env: { ...options.environment, PATH: process.env.PATH ?? "" },
        stdio: ["ignore", "pipe", "pipe"],
    });
    child.stderr.pipe(log, { end: false });
    let exit: string | undefined;
    child.once("exit", (code, signal) => exit = `code ${String(code)}, signal ${String(signal)}`);
    const ports = await new Promise<Ports>((resolve, reject) => {
        child.once("exit", () => reject(new Error(`the process did not start; see ${options.logPath}`)));
        createInterface({ input: child.stdout }).on("line", line => {
            log.write(`${line}\n`);
            const found = options.parsePorts(line);
            if (found !== undefined) {
                resolve(found);
            }
        });
    });
    const requests = Object.entries(options.buildRequests(ports));
    async function isServing(): Promise<boolean> {
        try {
            for (const [name, send] of requests) {
                await waitFor(name, async () => exit !== undefined || await send());
            }
            return exit === undefined;
        }
        catch {
            return false;
        }
    }
    assert.ok(await isServing(), "the process does not serve before the crowd comes");
    return {
        pid: child.pid ?? 0,
        ports,
        isServing,
        getExit: () => exit,
        async close() {
            await endProcess(child);
            log.end();
        },
    };
}

/** Calls a client with connections of its own, as after a retry. */
export async function callOnNewConnection<Result>(call: (agent: Agent) => Promise<Result>): Promise<Result> {
    const agent = new Agent({ pipelining: 0 });
    try {
        return await call(agent);
    }
    finally {
        await agent.destroy();
    }
}

/** Sends a GET on a connection of its own and returns the status of the response. */
export function requestStatus(port: number, path: string): Promise<number> {
    return callOnNewConnection(async dispatcher => {
        const url = `http://${HOST}:${port}${path}`;
        const { statusCode, body } = await request(url, { dispatcher, headersTimeout: PATIENCE_MS });
        await body.dump();
        return statusCode;
    });
}
