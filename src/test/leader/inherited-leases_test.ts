/** Until when a new leader must assume that leases granted by earlier leaders are in force. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeLeaseBound } from "../../process/dispatch/lease-bound.js";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import { InheritedLeases } from "../../process/leadership/inherited-leases.js";

const LEASE_MS = 4_500;
const UNCONFIRMED_MS = 8_000;
const BEGIN = 60_000;
const LEASE_BOUND = computeLeaseBound(LEASE_MS);

describe("InheritedLeases", () => {
    const cases: {
        name: string;
        /** Epochs and the times at which this process learned of them. */
        seen: readonly (readonly [number, number])[];
        adoptedBy: number | undefined;
        isReleased?: boolean;
        wasHandedOver?: boolean;
        end: number;
    }[] = [
        {
            name: "counts from the takeover for a worker of the previous leader",
            seen: [[4, 10_000], [5, BEGIN]],
            adoptedBy: 4,
            end: BEGIN + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "counts from the previous takeover for a worker that the previous leader never reached",
            seen: [[4, 50_000], [5, BEGIN]],
            adoptedBy: 3,
            end: 50_000 + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "counts from the first later epoch that it learned of",
            seen: [[2, 40_000], [5, BEGIN]],
            adoptedBy: 2,
            end: BEGIN + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "counts from its own claim where the process is new",
            seen: [[5, BEGIN]],
            adoptedBy: 1,
            end: BEGIN + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "treats a worker of which nothing is known as one of the previous leader",
            seen: [[4, 10_000], [5, BEGIN]],
            adoptedBy: undefined,
            end: BEGIN + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "counts only the lease after the previous leader stepped down",
            seen: [[4, 10_000], [5, BEGIN]],
            adoptedBy: 4,
            wasHandedOver: true,
            end: BEGIN + LEASE_BOUND,
        },
        {
            name: "counts the full time after a handover if the last leader of the worker is not known",
            seen: [[4, 10_000], [5, BEGIN]],
            adoptedBy: undefined,
            wasHandedOver: true,
            end: BEGIN + UNCONFIRMED_MS + LEASE_BOUND,
        },
        {
            name: "counts only the lease for a worker that the previous leader released",
            seen: [[4, 10_000], [5, BEGIN]],
            adoptedBy: 4,
            isReleased: true,
            end: BEGIN + LEASE_BOUND,
        },
        {
            name:
                "counts only the lease, from when it was replaced, for a worker that an earlier leader released",
            seen: [[4, 55_000], [5, BEGIN]],
            adoptedBy: 3,
            isReleased: true,
            end: 55_000 + LEASE_BOUND,
        },
        {
            name: "counts the full time for an earlier leader that did not step down",
            seen: [[4, 55_000], [5, BEGIN]],
            adoptedBy: 3,
            wasHandedOver: true,
            end: 55_000 + UNCONFIRMED_MS + LEASE_BOUND,
        },
    ];
    for (const { name, seen, adoptedBy, isReleased = false, wasHandedOver = false, end } of cases) {
        it(name, () => {
            const history = new EpochHistory();
            seen.forEach(([epoch, at]) => history.observe(epoch, at));
            const leases = new InheritedLeases({
                previousEpoch: 4,
                wasHandedOver,
                begin: BEGIN,
                history,
                leaseMs: LEASE_MS,
                unconfirmedMs: UNCONFIRMED_MS,
            });
            const adoption = adoptedBy === undefined ? undefined : { epoch: adoptedBy, isReleased };
            assert.equal(leases.computeEnd(adoption), end);
        });
    }
});
