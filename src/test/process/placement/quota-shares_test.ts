/**
 * Lent shares of a quota: whatever is lost, late, repeated or out of order, the sum in use stays within the
 * quota; and one placer with all the demand gets nearly all of it.
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

/** Placers that use all they are lent up to their demand, and messages that wait to be delivered. */
class Cell {
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
        const room = Math.max(0, Math.min(share - (this.use.get(id) ?? 0), this.demand.get(id) ?? 0));
        const started = 1_000 * Math.floor(room / 1_000);
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
                const cell = new Cell();
                for (const { kind, placer, index, keep } of sequence) {
                    const id = PLACERS[placer] ?? "p0";
                    if (kind === "report") {
                        cell.report(id);
                    }
                    else if (kind === "deliverReport" && cell.reports.length > 0) {
                        const at = index % cell.reports.length;
                        const report = cell.reports[at];
                        const grant = report === undefined ? undefined : cell.lender.grant(report);
                        if (grant !== undefined) {
                            cell.grants.push(grant);
                        }
                        cell.reports.splice(at, keep ? 0 : 1);
                    }
                    else if (kind === "deliverGrant" && cell.grants.length > 0) {
                        const at = index % cell.grants.length;
                        const grant = cell.grants[at];
                        if (grant !== undefined) {
                            cell.holders.get(grant.placerId)?.accept(grant);
                        }
                        cell.grants.splice(at, keep ? 0 : 1);
                    }
                    else if (kind === "lose") {
                        cell.reports.splice(index % 10, 1);
                        cell.grants.splice(index % 10, 1);
                    }
                    else if (kind === "start") {
                        cell.start(id);
                    }
                    else if (kind === "end") {
                        cell.use.set(id, Math.floor((cell.use.get(id) ?? 0) / 2));
                    }
                    else if (kind === "wish") {
                        cell.demand.set(id, 1_000 * (index % 120));
                    }
                    else if (kind === "term" && index % 10 === 0) {
                        cell.lender = new ShareLender(TEAM, cell.lender.term + 1, QUOTA, PLACERS);
                    }
                    assert.ok(cell.sumUse() <= QUOTA.cpuMillis, `${cell.sumUse()} in use`);
                }
            }),
            { seed: SEED, numRuns: 500 },
        );
    });

    it("lets one placer with all the demand use 95% or more after others had used it", () => {
        const cell = new Cell();
        const settle = () => {
            for (const id of PLACERS) {
                cell.report(id);
                const report = cell.reports.pop();
                const grant = report === undefined ? undefined : cell.lender.grant(report);
                if (grant !== undefined) {
                    cell.holders.get(id)?.accept(grant);
                }
                cell.start(id);
            }
        };
        PLACERS.forEach(id => cell.demand.set(id, 50_000));
        for (let round = 0; round < 5; round++) {
            settle();
        }
        PLACERS.forEach(id => {
            cell.use.set(id, 0);
            cell.demand.set(id, id === "p2" ? 200_000 : 0);
        });
        for (let round = 0; round < 5; round++) {
            settle();
        }
        assert.ok((cell.use.get("p2") ?? 0) >= 0.95 * QUOTA.cpuMillis, `${cell.use.get("p2")}`);
    });

    it("lends nothing in a new term until every placer has told what runs there", () => {
        // A new lender that knew only some placers would lend again what the others still use.
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
