/**
 * Random fault runs in larger numbers than in the tests: `npm run fault-runs -- --seed N --runs N`.
 * A failure prints the command that replays it.
 */
import { parseArgs } from "node:util";
import { checkRandomRuns } from "./faults/random-runs.js";

const DEFAULT_RUNS = 200;
const CHUNK = 20;

const { values } = parseArgs({
    options: { seed: { type: "string" }, runs: { type: "string" }, path: { type: "string" } },
});
const firstSeed = Number(values.seed ?? 1);
const runs = Number(values.runs ?? DEFAULT_RUNS);
if (!Number.isInteger(firstSeed) || !Number.isInteger(runs) || runs < 1) {
    console.error("usage: npm run fault-runs -- --seed N --runs N [--path P]");
    process.exit(2);
}

let failures = 0;
if (values.path === undefined) {
    // Each chunk has its own seed, so that a failure is replayed without the chunks before it.
    for (let done = 0; done < runs; done += CHUNK) {
        await runChunk(firstSeed + done / CHUNK, Math.min(CHUNK, runs - done));
        console.log(`${Math.min(done + CHUNK, runs)} of ${runs} runs, ${failures} chunks failed`);
    }
}
else {
    await runChunk(firstSeed, 1, values.path);
}
process.exitCode = failures === 0 ? 0 : 1;

async function runChunk(seed: number, count: number, path?: string): Promise<void> {
    try {
        await checkRandomRuns(seed, count, path);
    }
    catch (error) {
        failures++;
        const text = error instanceof Error ? `${error.message}\n${describeCause(error)}` : String(error);
        const failurePath = /path: "([^"]+)"/.exec(text)?.[1];
        console.log(text);
        console.log(`repeat: npm run fault-runs -- --seed ${seed} --runs 1 --path "${failurePath ?? ""}"`);
    }
}

function describeCause(error: Error): string {
    return error.cause instanceof Error ? error.cause.message : "";
}
