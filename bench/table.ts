/** The table of benches. A new one is a file and a row here. */
import { coreBench } from "./core-bench.js";
import { frontLoadBench } from "./front-load.js";
import { homeLogBench } from "./home-log-bench.js";
import type { Bench } from "./lib/bench.js";
import { porteAperteBench } from "./porte-aperte-bench.js";

export const BENCHES: readonly Bench[] = [
    coreBench,
    porteAperteBench,
    homeLogBench,
    frontLoadBench,
];
