/**
 * Fault-injection soak test on real processes: `npm run soak -- --seed N`. Prints a line for each run; a run that
 * violates a guarantee keeps its logs and prints the command that repeats it.
 */
import { rmSync } from "node:fs";
import { parseArgs } from "node:util";
import { createRandom } from "../../src/common/random.js";
import { buildProgram } from "./build-program.js";
import { buildFaultPlan } from "./fault-plan.js";
import { openFixture } from "./fixture.js";
import { SHORT_LENGTH_MS, SHORT_PLAN } from "./short-plan.js";
import { runSoak } from "./soak-run.js";

const FOLDER = "target/soak";
const PROGRAM = `${FOLDER}/cactusrack-node.cjs`;
const USAGE =
    "usage: npm run soak -- [--seed N] [--runs N] [--nodes N] [--workers N] [--callers N] [--seconds N] [--gap-ms N] [--short] " +
    "[--other-program FILE] [--keep-names]";
/** Fault plans and fixtures must draw from different random streams. */
const PLAN_SEED_OFFSET = 1_000_003;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "1" },
        nodes: { type: "string", default: "4" },
        workers: { type: "string", default: "6" },
        callers: { type: "string", default: "12" },
        seconds: { type: "string", default: "15" },
        "gap-ms": { type: "string", default: "500" },
        short: { type: "boolean", default: false },
        // Workers start again under the name that they had.
        "keep-names": { type: "boolean", default: false },
        // Another build of the program, run by every second node.
        "other-program": { type: "string" },
    },
});
const { short, "other-program": otherProgram, "keep-names": keepsWorkerNames, ...numbers } = values;
const figures = Object.values(numbers).map(Number);
if (figures.some(figure => !Number.isInteger(figure) || figure < 1)) {
    console.error(USAGE);
    process.exit(2);
}

const size = {
    nodes: Number(values.nodes),
    workers: Number(values.workers),
    callers: Number(values.callers),
    lengthMs: Number(values.seconds) * 1_000,
    gapMs: Number(values["gap-ms"]),
};
buildProgram(PROGRAM);
let failures = 0;
for (let run = 0; run < Number(values.runs); run++) {
    failures += await checkSeed(Number(values.seed) + run) ? 0 : 1;
}
process.exit(failures === 0 ? 0 : 1);

async function checkSeed(seed: number): Promise<boolean> {
    const folder = `${FOLDER}/seed-${seed}`;
    rmSync(folder, { recursive: true, force: true });
    const { nodes, workers, callers, lengthMs, gapMs } = size;
    const fixture = await openFixture({
        seed,
        nodes,
        workers,
        folder,
        program: PROGRAM,
        otherProgram,
        keepsWorkerNames,
    });
    const task = short ?
        { faults: SHORT_PLAN, lengthMs: SHORT_LENGTH_MS, callers } :
        {
            faults: buildFaultPlan(createRandom(seed + PLAN_SEED_OFFSET), { lengthMs, gapMs }),
            lengthMs,
            callers,
        };
    const { faults } = task;
    const verdict = await runSoak(fixture, task);
    await fixture.close();
    const isClean = verdict.violations.length === 0;
    const { accepted, refused, ended } = verdict.jobs;
    console.log(
        `seed ${seed}: ${isClean ? "clean" : "BROKEN"}, ${faults.length} faults, ` +
            `${accepted} jobs accepted, ${refused} refused, ${ended} ended`,
    );
    if (isClean) {
        rmSync(folder, { recursive: true, force: true });
        return true;
    }
    faults.forEach(({ kind, atMs, forMs, target }) =>
        console.log(`  ${atMs} ms: ${kind} ${target} for ${forMs} ms`)
    );
    verdict.violations.forEach(message => console.log(`  ${message}`));
    const flags = Object.entries(numbers).filter(([name]) => name !== "seed" && name !== "runs")
        .map(([name, value]) => `--${name} ${value}`).join(" ");
    const mix = (otherProgram === undefined ? "" : ` --other-program ${otherProgram}`) +
        (keepsWorkerNames ? " --keep-names" : "");
    console.log(
        `  logs in ${folder}; again: npm run soak -- --seed ${seed} ${flags}${short ? " --short" : ""}${mix}`,
    );
    return false;
}
