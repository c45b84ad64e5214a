/**
 * Lent shares of a quota: total usage stays within the quota even if messages are lost, late, repeated or out
 * of order, and a placer with all the demand gets nearly the whole quota.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isWithin, type Resources } from "../../../common/resources.js";
import {
    type ShareGrant,
    ShareHolder,
    ShareLender,
    type ShareReport,
} from "../../../process/placement/index.js";

const TEAM = "verona";
const QUOTA: Resources = { cpuMillis: 100_000, memoryMib: 200_000, accelerators: 10 };
const PLACERS = ["p0", "p1", "p2", "p3"];
const SEED = 4_101;

function buildAmount(share: number): Resources {
    return {
        cpuMillis: Math.floor(QUOTA.cpuMillis * share),
        memoryMib: Math.floor(QUOTA.memoryMib * share),
        accelerators: Math.floor(QUOTA.accelerators * share),
    };
}

/** A lender, placers that use what they are lent up to their demand, and undelivered messages. */
class ShareFixture {
    lender = new ShareLender(TEAM, 1, QUOTA, PLACERS);
    readonly holders = new Map(PLACERS.map(id => [id, new ShareHolder(id)]));
    readonly use = new Map<string, number>(PLACERS.map(id => [id, 0]));
    readonly demand = new Map<string, number>(PLACERS.map(id => [id, 0]));
    readonly reports: ShareReport[] = [];
    readonly grants: ShareGrant[] = [];

    report(id: string): void {
        const use = buildAmount((this.use.get(id) ?? 0) / QUOTA.cpuMillis);
        const demand = buildAmount((this.demand.get(id) ?? 0) / QUOTA.cpuMillis);
        const report = this.holders.get(id)?.buildReport(TEAM, this.lender.term, use, demand);
        if (report !== undefined) {
            this.reports.push(report);
        }
    }

    /** Starts tasks of 1,000 millicores while share and demand allow. */
    start(id: string): void {
        const share = this.holders.get(id)?.listShares().get(TEAM)?.cpuMillis ?? 0;
        const startable = Math.max(0, Math.min(share - (this.use.get(id) ?? 0), this.demand.get(id) ?? 0));
        const started = 1_000 * Math.floor(startable / 1_000);
        this.use.set(id, (this.use.get(id) ?? 0) + started);
        this.demand.set(id, (this.demand.get(id) ?? 0) - started);
    }

    sumUse(): number {
        return [...this.use.values()].reduce((sum, use) => sum + use, 0);
    }
}

const steps = fc.array(
    fc.record({
        kind: fc.constantFrom(
            "report",
            "deliverReport",
            "deliverGrant",
            "lose",
            "start",
            "end",
            "wish",
            "term",
        ),
        placer: fc.nat(PLACERS.length - 1),
        index: fc.nat(1_000),
        keep: fc.boolean(),
    }),
    { minLength: 20, maxLength: 300 },
);

describe("lent shares of a quota", () => {
    it("never add up to more than the quota in use", () => {
        fc.assert(
            fc.property(steps, sequence => {
                const fixture = new ShareFixture();
                for (const { kind, placer, index, keep } of sequence) {
                    const id = PLACERS[placer] ?? "p0";
                    if (kind === "report") {
                        fixture.report(id);
                    }
                    else if (kind === "deliverReport" && fixture.reports.length > 0) {
                        const at = index % fixture.reports.length;
                        const report = fixture.reports[at];
                        const grant = report === undefined ? undefined : fixture.lender.grant(report);
                        if (grant !== undefined) {
                            fixture.grants.push(grant);
                        }
                        fixture.reports.splice(at, keep ? 0 : 1);
                    }
                    else if (kind === "deliverGrant" && fixture.grants.length > 0) {
                        const at = index % fixture.grants.length;
                        const grant = fixture.grants[at];
                        if (grant !== undefined) {
                            fixture.holders.get(grant.placerId)?.accept(grant);
                        }
                        fixture.grants.splice(at, keep ? 0 : 1);
                    }
                    else if (kind === "lose") {
                        fixture.reports.splice(index % 10, 1);
                        fixture.grants.splice(index % 10, 1);
                    }
                    else if (kind === "start") {
                        fixture.start(id);
                    }
                    else if (kind === "end") {
                        fixture.use.set(id, Math.floor((fixture.use.get(id) ?? 0) / 2));
                    }
                    else if (kind === "wish") {
                        fixture.demand.set(id, 1_000 * (index % 120));
                    }
                    else if (kind === "term" && index % 10 === 0) {
                        fixture.lender = new ShareLender(TEAM, fixture.lender.term + 1, QUOTA, PLACERS);
                    }
                    assert.ok(fixture.sumUse() <= QUOTA.cpuMillis, `${fixture.sumUse()} in use`);
                }
            }),
            { seed: SEED, numRuns: 500 },
        );
    });

    it("lets one placer with all the demand use 95% or more after others had used it", () => {
        const fixture = new ShareFixture();
        const settle = () => {
            for (const id of PLACERS) {
                fixture.report(id);
                const report = fixture.reports.pop();
                const grant = report === undefined ? undefined : fixture.lender.grant(report);
                if (grant !== undefined) {
                    fixture.holders.get(id)?.accept(grant);
                }
                fixture.start(id);
            }
        };
        PLACERS.forEach(id => fixture.demand.set(id, 50_000));
        for (let round = 0; round < 5; round++) {
            settle();
        }
        PLACERS.forEach(id => {
            fixture.use.set(id, 0);
            fixture.demand.set(id, id === "p2" ? 200_000 : 0);
        });
        for (let round = 0; round < 5; round++) {
            settle();
        }
        assert.ok((fixture.use.get("p2") ?? 0) >= 0.95 * QUOTA.cpuMillis, `${fixture.use.get("p2")}`);
    });

    it("lends nothing in a new term until every placer has reported its usage", () => {
        // A new lender that had reports from only some placers would lend again what the others still use.
        const lender = new ShareLender(TEAM, 2, QUOTA, ["p0", "p1"]);
        const [first, second] = [new ShareHolder("p0"), new ShareHolder("p1")];
        const none = buildAmount(0);
        const early = lender.grant(first.buildReport(TEAM, 2, none, QUOTA));
        assert.deepEqual(early?.amount, none);
        lender.grant(second.buildReport(TEAM, 2, buildAmount(0.6), none));
        const late = lender.grant(first.buildReport(TEAM, 2, none, QUOTA));
        assert.ok(late !== undefined && isWithin(late.amount, buildAmount(0.4)) && late.amount.cpuMillis > 0);
    });
});
