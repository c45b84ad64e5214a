/** Processor time of the decisions on client accounts, by the number of accounts and running tasks. */
import { createRandom } from "../src/common/random.js";
import { decideAccess } from "../src/process/accounts/access.js";
import { AccountUse } from "../src/process/accounts/account-use.js";
import type { ChargedRun } from "../src/process/accounts/account-use.js";
import { computeKeyDigest } from "../src/process/accounts/credential.js";
import { FairShares } from "../src/process/accounts/fair-shares.js";
import { QuotaLedger } from "../src/process/accounts/quota-ledger.js";
import type { AccountConfig, ClusterConfig, QueueConfig } from "../src/version/cluster-config.js";
import type { Bench, BenchOptions, BenchReport } from "./lib/bench.js";
import { formatFigure } from "./lib/figures.js";

const ACCOUNT_STEPS = [20, 400, 4_000];
const WORKERS = 4_000;
const RUNS_PER_WORKER = 20;
const WORKER_CPU = 32_000;
const US_PER_MS = 1_000;

const QUEUE: QueueConfig = {
    name: "batch",
    host: "jobs.test",
    pathPrefix: "/batch/",
    pool: "pool",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetMs: 1_000,
    advice: undefined,
};

function buildAccounts(count: number): readonly AccountConfig[] {
    return Array.from({ length: count }, (...[, index]) => ({
        name: `account-${index}`,
        keyDigests: [computeKeyDigest(`key-${index}`)],
        weight: 1 + index % 10,
        quota: { cpuMillis: WORKERS * WORKER_CPU, memoryMib: 0, accelerators: 0 },
    }));
}

/** Measures one call, in microseconds: the mean over all of them. */
function measureUs(calls: number, call: (index: number) => void): number {
    const begin = performance.now();
    for (let index = 0; index < calls; index++) {
        call(index);
    }
    return (performance.now() - begin) / calls * US_PER_MS;
}

function measureStep(count: number, { quick, seed }: BenchOptions): readonly string[] {
    const random = createRandom(seed);
    const accounts = buildAccounts(count);
    const config: ClusterConfig = { version: 1, queues: [QUEUE], pools: [], accounts, maxBodyBytes: 1_000 };
    const demand = { cpuMillis: 1_500, memoryMib: 2_000, accelerators: 0 };
    const runs = Array.from(
        { length: WORKERS },
        () =>
            Array.from({ length: RUNS_PER_WORKER }, (): ChargedRun => ({
                account: `account-${random.pickInt(count)}`,
                demand,
            })),
    );
    const capacity = { cpuMillis: WORKERS * WORKER_CPU, memoryMib: 1e9, accelerators: 0 };
    const passes = quick ? 3 : 30;
    let use = new AccountUse();
    const passUs = measureUs(passes, () => {
        use = new AccountUse();
        runs.forEach(ofWorker => use.add(ofWorker));
    });
    const shareUs = measureUs(passes, () => new FairShares(accounts, use, capacity));
    const quotas = new QuotaLedger(accounts, use);
    const starts = quick ? 1_000 : 100_000;
    const startUs = measureUs(starts, index => {
        quotas.countPlaces(`account-${index % count}`, demand);
        quotas.take(`account-${index % count}`, demand);
    });
    const digest = accounts[0]?.keyDigests[0];
    const accessUs = measureUs(starts, () => decideAccess(config, QUEUE, digest));
    const keyUs = measureUs(quick ? 1_000 : 20_000, index => computeKeyDigest(`key-${index}`));
    return [passUs, shareUs, startUs, accessUs, keyUs].map(formatFigure);
}

function runAccounts(options: BenchOptions): BenchReport {
    const rows = ACCOUNT_STEPS.map(count => [count, ...measureStep(count, options)]);
    return {
        tables: [{
            title: `Time of decisions in us, with ${WORKERS} workers and ${WORKERS * RUNS_PER_WORKER} runs`,
            rows: [
                [
                    "accounts",
                    "use, a pass",
                    "shares, a pass",
                    "quota, a start",
                    "access, a request",
                    "digest of a key",
                ],
                ...rows,
            ],
        }],
        plots: [],
        targets: [],
    };
}

export const accountsBench: Bench = {
    name: "accounts",
    about: "decisions on client accounts: processor time by accounts, at 4,000 workers",
    run: runAccounts,
};
