/** Plays a load with several seeds: `npm run played-load -- --load NAME --seed N --runs N`. */
import { parseArgs } from "node:util";
import { CROWDED_LOAD } from "./crowded-load.js";
import { FEW_CALLERS_LOAD, SCARCE_LOAD } from "./load-profile.js";
import { PlayedLoad } from "./played-load.js";

const { values } = parseArgs({
    options: {
        load: { type: "string", default: "scarce" },
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "1" },
    },
});
const LOADS = { scarce: SCARCE_LOAD, crowded: CROWDED_LOAD, fewCallers: FEW_CALLERS_LOAD };
const profile = Object.entries(LOADS).find(([name]) => name === values.load)?.[1];
const seed = Number(values.seed);
const runs = Number(values.runs);
if (profile === undefined || !Number.isInteger(seed) || !Number.isInteger(runs) || runs < 1) {
    console.error("usage: npm run played-load -- --load scarce|crowded|fewCallers --seed N --runs N");
    process.exit(2);
}
let sum = 0;
for (let run = 0; run < runs; run++) {
    const { worth, utilization, classes, faults } = await new PlayedLoad(profile, seed + run).play();
    sum += worth;
    const parts = classes.map((
        {
            name,
            jobs,
            inTime,
            late,
            offeredWorth,
            earnedWorth,
            preemptions,
        },
    ) => `${name} ${
        (earnedWorth / offeredWorth).toFixed(3)
    } (${inTime}+${late} of ${jobs}, ${preemptions} stops)`);
    console.log(
        `seed ${seed + run}: worth ${worth.toFixed(3)}, in use ${utilization.toFixed(3)}; ${
            parts.join("; ")
        }`,
    );
    faults.forEach(fault => console.log(`  ${fault}`));
}
console.log(`mean ${(sum / runs).toFixed(3)}`);
