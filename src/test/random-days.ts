/**
 * Random days of a leader in larger numbers than in the tests: `npm run random-days -- --seed N --runs N`.
 * A failure prints the command that replays it.
 */
import { parseArgs } from "node:util";
import { chooseDayOptions, RandomDay } from "./leader/random-day.js";

const DEFAULT_RUNS = 200;
const REPORT_EVERY = 20;
const CRASHING_SHARE = 0.03;

const { values } = parseArgs({
    options: {
        seed: { type: "string" },
        runs: { type: "string" },
        "leave-dropped": { type: "boolean" },
        "advise-by-list": { type: "boolean" },
        crashing: { type: "boolean" },
        shrinking: { type: "boolean" },
        accounts: { type: "boolean" },
    },
});
const firstSeed = Number(values.seed ?? 1);
const runs = Number(values.runs ?? DEFAULT_RUNS);
if (!Number.isInteger(firstSeed) || !Number.isInteger(runs) || runs < 1) {
    console.error(
        "usage: npm run random-days -- --seed N --runs N [--leave-dropped] [--advise-by-list] [--crashing] [--shrinking] [--accounts]",
    );
    process.exit(2);
}

const switches = [
    values["leave-dropped"] === true ? " --leave-dropped" : "",
    values["advise-by-list"] === true ? " --advise-by-list" : "",
    values.crashing === true ? " --crashing" : "",
    values.shrinking === true ? " --shrinking" : "",
    values.accounts === true ? " --accounts" : "",
].join("");
let failures = 0;
for (let done = 1; done <= runs; done++) {
    await runDay(firstSeed + done - 1);
    if (done % REPORT_EVERY === 0 || done === runs) {
        console.log(`${done} of ${runs} days, ${failures} failed`);
    }
}
process.exitCode = failures === 0 ? 0 : 1;

async function runDay(seed: number): Promise<void> {
    const options = chooseDayOptions(seed, {
        leavesQueuesDropped: values["leave-dropped"] === true,
        advisesByList: values["advise-by-list"] === true,
        crashingShare: values.crashing === true ? CRASHING_SHARE : 0,
        shrinksWorkers: values.shrinking === true,
        hasAccounts: values.accounts === true,
    });
    const day = new RandomDay(seed, options);
    const broken = await day.run();
    if (broken.length > 0) {
        failures++;
        console.log(day.describe());
        broken.forEach(fault => console.log(`  ${fault}`));
        console.log(`repeat: npm run random-days -- --seed ${seed} --runs 1${switches}`);
    }
}
