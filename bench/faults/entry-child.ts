/** An entry as a process of its own: the program's `entry` command, as an operator runs it. */
import { buildSync } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const HOST = "127.0.0.1";
const SHUTDOWN_MS = 10_000;

/** What all entries of a run share. */
export interface EntrySetup {
    readonly storeUrl: string;
    readonly vmListUrl: string;
    readonly operatorTokenHash: string;
    readonly secret: string;
}

/** One entry process. */
export interface EntryChild {
    readonly name: string;
    readonly memberId: string;
    readonly httpUrl: string;
    readonly process: ChildProcess;
    /** Resolves with the exit code, or the signal that ended it. */
    readonly ended: Promise<number | string>;
}

/**
 * Bundles the program.
 * @param path - Output file.
 */
export function buildEntryProgram(path: string): void {
    buildSync({
        entryPoints: ["src/main.ts"],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: path,
        logLevel: "error",
        external: ["cbor-extract", "unix-dgram"],
        define: { "import.meta.url": "undefined" },
    });
}

/** The program bundled once for a run, in a folder of its own. */
export class EntryProgram {
    private readonly folder = mkdtempSync(join(tmpdir(), "cactusrack-faults-"));
    private readonly children: ChildProcess[] = [];

    constructor(private readonly setup: EntrySetup) {
        buildEntryProgram(this.getProgramPath());
    }

    /** Starts an entry and waits until it serves. */
    async startEntry(name: string, failureDomain: string): Promise<EntryChild> {
        const path = join(this.folder, `${name}.json`);
        writeFileSync(path, JSON.stringify(this.buildSettings(name, failureDomain)));
        const child = spawn(process.execPath, [this.getProgramPath(), "entry", "--settings", path], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.children.push(child);
        const ended = new Promise<number | string>(resolve => {
            child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
        });
        const { memberId, httpUrl } = await readServingLine(child);
        return { name, memberId, httpUrl, process: child, ended };
    }

    /** Ends the processes that still run. */
    close(): void {
        for (const child of this.children) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
        rmSync(this.folder, { recursive: true, force: true });
    }

    private getProgramPath(): string {
        return join(this.folder, "main.cjs");
    }

    private buildSettings(memberName: string, failureDomain: string): object {
        return {
            memberName,
            cell: "faults-bench",
            failureDomain,
            peers: { listen: { host: HOST, port: 0 }, secret: this.setup.secret },
            http: { listen: { host: HOST, port: 0 } },
            platform: { store: this.setup.storeUrl, vmList: this.setup.vmListUrl },
            shutdownMs: SHUTDOWN_MS,
            operators: [{ name: "bench", tokenSha256: this.setup.operatorTokenHash }],
        };
    }
}

/** Reads log lines until the entry says where it serves, and lets the rest pass unread. */
function readServingLine(
    child: ChildProcess,
): Promise<{ readonly memberId: string; readonly httpUrl: string; }> {
    const { stdout } = child;
    if (!stdout) {
        throw new Error("the entry's output is not piped");
    }
    return new Promise(resolve => {
        const lines = createInterface({ input: stdout });
        lines.on("line", line => {
            const { memberId, httpUrl } = JSON.parse(line) as {
                readonly memberId?: string;
                readonly httpUrl?: string;
            };
            if (memberId !== undefined && httpUrl !== undefined) {
                lines.close();
                stdout.resume();
                resolve({ memberId, httpUrl });
            }
        });
    });
}
