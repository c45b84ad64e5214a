/**
 * Quotas of 410 teams lent to 8 placers while demand moves between them: the sum in use against the quota, and
 * how much of a quota one placer with all the demand can use, by rounds of messages.
 */
import { createRandom } from "../src/common/random.js";
import { NO_RESOURCES, type Resources } from "../src/common/resources.js";
import { ShareHolder, ShareLender } from "../src/process/placement/index.js";
import type { Bench, BenchOptions, BenchReport } from "./lib/bench.js";
import { formatFigure } from "./lib/figures.js";
import { TEAMS } from "./lib/fleet.js";

const PLACERS = 8;
const QUOTA_CPU = 400_000;
const TASK_CPU = 2_000;
const LOST_SHARE = 0.1;
const ROUNDS_SHOWN = 8;

interface TeamState {
    readonly lender: ShareLender;
    readonly use: number[];
    readonly demand: number[];
}

function buildAmount(cpuMillis: number): Resources {
    return { cpuMillis, memoryMib: 2 * cpuMillis, accelerators: 0 };
}

/** One exchange of notes between every placer and every lender; one in ten is lost. */
function runRound(
    teams: readonly TeamState[],
    holders: readonly ShareHolder[],
    pickFraction: () => number,
): number {
    let messages = 0;
    teams.forEach(({ lender, use, demand }) => {
        holders.forEach((holder, index) => {
            const [used, wanted] = [use[index] ?? 0, demand[index] ?? 0];
            const report = holder.buildReport(
                lender.team,
                lender.term,
                buildAmount(used),
                buildAmount(wanted),
            );
            const grant = pickFraction() < LOST_SHARE ? undefined : lender.grant(report);
            messages += 2;
            if (grant !== undefined && pickFraction() >= LOST_SHARE) {
                holder.accept(grant);
            }
        });
    });
    teams.forEach(({ lender, use, demand }) => {
        holders.forEach((holder, index) => {
            const share = holder.listShares().get(lender.team) ?? NO_RESOURCES;
            const room = Math.min(share.cpuMillis - (use[index] ?? 0), demand[index] ?? 0);
            const started = TASK_CPU * Math.floor(Math.max(0, room) / TASK_CPU);
            use[index] = (use[index] ?? 0) + started;
            demand[index] = (demand[index] ?? 0) - started;
        });
    });
    return messages;
}

function runQuota(options: BenchOptions): BenchReport {
    const random = createRandom(options.seed);
    const names = Array.from({ length: PLACERS }, (_, index) => `placer-${index}`);
    const holders = names.map(name => new ShareHolder(name));
    const teams = Array.from({ length: TEAMS }, (_, index): TeamState => ({
        lender: new ShareLender(`team-${index}`, 1, buildAmount(QUOTA_CPU), names),
        use: names.map(() => 0),
        demand: names.map(() => 0),
    }));
    const moves = options.quick ? 1 : 12;
    const usable = Array.from({ length: ROUNDS_SHOWN }, () => 0);
    let worstSum = 0;
    let messages = 0;
    const begin = performance.now();
    for (let move = 0; move < moves; move++) {
        teams.forEach(({ use, demand }) => {
            const busy = random.pickInt(PLACERS);
            use.forEach((_, index) => {
                use[index] = 0;
                demand[index] = index === busy ? 2 * QUOTA_CPU : 0;
            });
        });
        for (let round = 0; round < ROUNDS_SHOWN; round++) {
            messages += runRound(teams, holders, () => random.pickFraction());
            const sums = teams.map(({ use }) => use.reduce((sum, value) => sum + value, 0));
            worstSum = Math.max(worstSum, ...sums);
            usable[round] = (usable[round] ?? 0) +
                sums.reduce((sum, value) => sum + value, 0) / (QUOTA_CPU * TEAMS * moves);
        }
    }
    const tookUs = 1_000 * (performance.now() - begin) / messages;
    const settled = usable.at(-1) ?? 0;
    return {
        tables: [{
            title:
                `Share of the quota in use by the one placer with demand, mean over ${TEAMS} teams; 10% of the notes lost`,
            rows: [
                ["rounds after the demand moved", ...usable.map((_, index) => index + 1)],
                ["usable", ...usable.map(value => `${formatFigure(100 * value)}%`)],
            ],
        }, {
            title: "Sum and cost",
            rows: [
                ["most ever in use, of the quota", "time for each note us"],
                [`${formatFigure(100 * worstSum / QUOTA_CPU)}%`, formatFigure(tookUs)],
            ],
        }],
        plots: [{
            title: "Usable share of a quota after the demand moved to another placer",
            xLabel: "rounds of notes (250 ms each)",
            yLabel: "share in use, %",
            series: [{
                name: "one placer",
                points: usable.map((value, index) => [index + 1, 100 * value] as const),
            }],
        }],
        targets: [
            {
                target: "never above the quota",
                measured: `${formatFigure(100 * worstSum / QUOTA_CPU)}%`,
                met: worstSum <= QUOTA_CPU,
            },
            {
                target: "95% usable by one placer",
                measured: `${formatFigure(100 * settled)}%`,
                met: settled >= 0.95,
            },
        ],
    };
}

export const quotaBench: Bench = {
    name: "quota",
    about: "quotas of 410 teams lent to 8 placers",
    run: runQuota,
};
