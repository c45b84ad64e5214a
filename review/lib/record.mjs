/** The record of one run: what was sent, answered and run, with the milliseconds since its start. */
import { appendFileSync, writeFileSync } from "node:fs";

/** Appends lines to `record.txt`, and collects the breaks of rules. */
export class Recorder {
    breaks = [];

    /** @param {string} path - File that is written anew. */
    constructor(path) {
        this.path = path;
        this.begin = performance.now();
        writeFileSync(path, "");
    }

    /** Returns the milliseconds since the start of the run. */
    now() {
        return performance.now() - this.begin;
    }

    /**
     * Writes a line.
     * @param {string} who - The stand-in that saw it.
     * @param {string} what - What it saw.
     */
    write(who, what) {
        appendFileSync(this.path, `${this.now().toFixed(1).padStart(9)} ${who} ${what}\n`);
    }

    /** Writes a break of a rule. */
    report(rule, what) {
        this.breaks.push(`${rule}: ${what}`);
        this.write("CHECK", `${rule} is broken: ${what}`);
    }
}

/** Resolves after a time. */
export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Polls until a condition holds; returns whether it did in time. */
export async function waitUntil(isMet, limitMs, intervalMs = 50) {
    const end = performance.now() + limitMs;
    while (performance.now() < end) {
        if (await isMet()) {
            return true;
        }
        await sleep(intervalMs);
    }
    return false;
}
