/** What other client accounts get while one sends many times its usual. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import type { AccountConfig } from "../../version/cluster-config.js";
import { SCARCE_LOAD } from "./load-profile.js";
import type { LoadClass, LoadProfile } from "./load-profile.js";
import { PlayedLoad } from "./played-load.js";

const ACCOUNTS = 10;
/** The workers hold all that the accounts are entitled to, but not all that the hot one sends. */
const WORKERS = 144;
/** The hot account sends this many times its usual. */
const HOT_FACTOR = 5;
/** Jobs a second to which an account is entitled, as a multiple of what it usually sends. */
const RATE_FACTOR = 1.9;
const WORST_SHARE = 0.1;
/** Differences of the worth below this are chance. */
const NOISE = 0.03;
/** The worst of nine accounts depends on single gangs, so that one seed says little. */
const SEEDS = [3, 4, 5, 6];

function buildAccounts(hasRates: boolean): readonly AccountConfig[] {
    const arrivals = SCARCE_LOAD.classes.reduce((sum, kind) => sum + kind.arrivalsPerSecond, 0);
    const weight = hasRates ? arrivals / ACCOUNTS * RATE_FACTOR : Number.MAX_SAFE_INTEGER;
    return Array.from({ length: ACCOUNTS }, (...[, index]): AccountConfig => ({
        name: `account-${index}`,
        keyDigests: [`key-${index}`],
        weight,
        quota: NO_RESOURCES,
    }));
}

/** What the hot account sends beyond its usual. */
function buildExtra(kind: LoadClass): LoadClass {
    const arrivalsPerSecond = kind.arrivalsPerSecond / ACCOUNTS * (HOT_FACTOR - 1);
    return { ...kind, account: "account-0", arrivalsPerSecond };
}

function buildProfile(isHot: boolean, hasRates: boolean): LoadProfile {
    const { classes } = SCARCE_LOAD;
    return {
        ...SCARCE_LOAD,
        workers: WORKERS,
        accounts: buildAccounts(hasRates),
        extraClasses: isHot ? classes.map(buildExtra) : [],
    };
}

/** Computes the mean share of worth that the worst-served of the other accounts earn. */
function computeWorst(accounts: ReadonlyMap<string, number>): number {
    const shares = [...accounts].filter(([name]) => name !== "account-0").map(([, share]) => share);
    const worst = shares.sort((left, right) => left - right).slice(0, Math.ceil(ACCOUNTS * WORST_SHARE));
    return worst.reduce((sum, share) => sum + share, 0) / worst.length;
}

describe("an account that sends five times its usual", () => {
    it("does not worsen what the worst-served of the others get", async context => {
        // Guards against one account whose work stands in one line with that of all others.
        const worst = { calm: 0, hot: 0 };
        for (const seed of SEEDS) {
            const calm = await new PlayedLoad(buildProfile(false, true), seed).play();
            const hot = await new PlayedLoad(buildProfile(true, true), seed).play();
            assert.deepEqual([...calm.faults, ...hot.faults], []);
            worst.calm += computeWorst(calm.accounts) / SEEDS.length;
            worst.hot += computeWorst(hot.accounts) / SEEDS.length;
        }
        context.diagnostic(`usual load ${worst.calm.toFixed(3)}, hot account ${worst.hot.toFixed(3)}`);
        assert.ok(worst.hot >= worst.calm - NOISE, `${worst.hot} instead of ${worst.calm}`);
    });
});
