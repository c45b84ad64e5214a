/**
 * Runs benches by name: `npm run bench` lists and runs all, `npm run bench -- core faults` runs two,
 * `-- --quick` makes them small, `--write` writes docs/measurements, `--seed 7` changes the seed.
 */
import { parseArgs } from "node:util";
import { printReport, writeReport } from "./lib/report.js";
import { BENCHES } from "./table.js";

const DEFAULT_SEED = 20_261_202;

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
        quick: { type: "boolean", default: false },
        write: { type: "boolean", default: false },
        list: { type: "boolean", default: false },
        seed: { type: "string", default: String(DEFAULT_SEED) },
    },
});
for (const bench of BENCHES) {
    console.log(`${bench.name.padEnd(16)} ${bench.about}`);
}
const unknown = positionals.filter(name => !BENCHES.some(bench => bench.name === name));
if (unknown.length > 0) {
    throw new Error(`no bench is called ${unknown.join(", ")}: choose from the list above`);
}
const chosen = BENCHES.filter(bench => positionals.length === 0 || positionals.includes(bench.name));
const seed = Number(values.seed);
for (const bench of values.list ? [] : chosen) {
    const begin = performance.now();
    const report = await bench.run({ quick: values.quick, seed });
    printReport(bench, report, seed, performance.now() - begin);
    if (values.write && !values.quick) {
        writeReport(bench, report, seed);
    }
}
