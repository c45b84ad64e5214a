/** The table of benches. A new one is a file and a row here. */
import { accountsBench } from "./accounts-bench.js";
import { controlCostBench } from "./control-cost-bench.js";
import { coreBench } from "./core-bench.js";
import { coreFaultsBench } from "./core-faults-bench.js";
import { faultsBench } from "./faults-bench.js";
import { frontLoadBench } from "./front-load.js";
import { homeLogBench } from "./home-log-bench.js";
import { hooghlyBench } from "./hooghly-bench.js";
import type { Bench } from "./lib/bench.js";
import { porteAperteBench } from "./porte-aperte-bench.js";
import { quotaBench } from "./quota-bench.js";

export const BENCHES: readonly Bench[] = [
    coreBench,
    porteAperteBench,
    hooghlyBench,
    coreFaultsBench,
    quotaBench,
    controlCostBench,
    homeLogBench,
    frontLoadBench,
    faultsBench,
    accountsBench,
];
