/** Capacity and quota that a gang keeps while it waits. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccountUse } from "../../process/accounts/account-use.js";
import { QuotaLedger } from "../../process/accounts/quota-ledger.js";
import { GangReservations } from "../../process/dispatch/gang-reservations.js";
import { Slot } from "../../process/dispatch/pool-view.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Step } from "../../process/jobs/job.js";
import { CORE, makeJobId, makeSpec, makeWorkerRecord } from "../leader/leader-cell.js";

const ACCOUNT = "team";
const QUOTA = { ...CORE, cpuMillis: 6_000, memoryMib: 0 };

function makeStep(change: Partial<StepSpec>): Step {
    const spec = makeSpec(change);
    const accepted = { type: "accepted", jobId: makeJobId(1), queue: "batch", spec, at: 0 } as const;
    const [step] = buildOccurrence(buildJob({ ...accepted, account: ACCOUNT }), spec, 0).steps;
    assert(step !== undefined);
    return step;
}

describe("GangReservations", () => {
    const task = makeStep({});
    const countQuota = (quotas: QuotaLedger): number => quotas.countPlaces(ACCOUNT, CORE);
    const cases: {
        readonly name: string;
        /** Whether the function that runs without reservations uses a place that the gang keeps. */
        readonly usesPlace: boolean;
        /** Whether a task would fit beside the gang afterwards, and what the quota leaves. */
        readonly after: { readonly fits: boolean; readonly quotaPlaces: number; };
    }[] = [
        {
            name: "keep everything again after a step that used nothing",
            usesPlace: false,
            after: { fits: false, quotaPlaces: 1 },
        },
        {
            name: "keep more than there is after a step that used some",
            usesPlace: true,
            after: { fits: false, quotaPlaces: 0 },
        },
    ];
    for (const { name, usesPlace, after } of cases) {
        it(name, () => {
            const quotas = new QuotaLedger(
                [{ name: ACCOUNT, keyDigests: [], weight: 1, quota: QUOTA }],
                new AccountUse(),
            );
            const slot = new Slot(new WorkerState(makeWorkerRecord("w1")), 0);
            const reservations = new GangReservations(quotas);
            const gang = makeStep({ taskCount: 5, isGang: true });
            const places = [slot, slot, slot, slot];
            places.forEach(place => place.take(gang));
            reservations.add(gang, places);
            assert.deepEqual([slot.canTake(task), reservations.isKeptFrom(task, slot)], [false, true]);
            assert.equal(countQuota(quotas), 1);
            reservations.runWithout(() => {
                assert.equal(slot.canTake(task), true);
                assert.equal(countQuota(quotas), 6);
                if (usesPlace) {
                    slot.take(task);
                    quotas.take(ACCOUNT, CORE);
                }
            });
            assert.deepEqual({ fits: slot.canTake(task), quotaPlaces: countQuota(quotas) }, after);
            assert.deepEqual(reservations.listGangs(), [gang]);
        });
    }
});
