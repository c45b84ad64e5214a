/**
 * Guards against a task running twice: a paused home resumes with orders in its send queue after another
 * entry took over its slice, completed its census and started the same tasks elsewhere.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HomeFences } from "../../../process/placer/home-fences.js";

const SLICE = 3;

type Step =
    | {
        readonly kind: "order";
        readonly epoch: number;
        readonly sequence: number;
        readonly attempt?: string;
    }
    | { readonly kind: "census"; readonly epoch: number; readonly floor: number; };

interface Case {
    readonly name: string;
    /** Epoch of the home in the placer's ownership table. */
    readonly table: number;
    readonly steps: readonly (readonly [Step, boolean])[];
}

function makeOrder(epoch: number, sequence: number, attempt?: string): Step {
    return { kind: "order", epoch, sequence, attempt };
}

function makeCensus(epoch: number, floor: number): Step {
    return { kind: "census", epoch, floor };
}

const cases: readonly Case[] = [
    {
        name: "accepts the current home's orders",
        table: 2,
        steps: [[makeOrder(2, 1), true], [makeOrder(2, 2), true]],
    },
    { name: "refuses a home older than the table", table: 2, steps: [[makeOrder(1, 9), false]] },
    { name: "accepts a home newer than the table", table: 2, steps: [[makeOrder(3, 1), true]] },
    {
        name: "refuses an older home after a census, even if the table still lists it",
        table: 1,
        steps: [[makeCensus(2, 1), true], [makeOrder(1, 9), false], [makeOrder(2, 1), true]],
    },
    {
        name: "refuses an older home after an order of a newer one",
        table: 1,
        steps: [[makeOrder(2, 1), true], [makeOrder(1, 9), false]],
    },
    {
        name: "refuses orders from before a census",
        table: 1,
        steps: [[makeCensus(1, 5), true], [makeOrder(1, 4), false], [makeOrder(1, 5), true]],
    },
    {
        name: "never lowers the floor",
        table: 1,
        steps: [[makeCensus(1, 5), true], [makeCensus(1, 2), true], [makeOrder(1, 3), false]],
    },
    { name: "refuses an outdated census", table: 2, steps: [[makeCensus(1, 1), false]] },
    {
        name: "admits an attempt once, even if it is sent again with another sequence number",
        table: 1,
        steps: [[makeOrder(1, 1, "a"), true], [makeOrder(1, 1, "a"), false], [makeOrder(1, 2, "a"), false], [
            makeOrder(1, 3, "b"),
            true,
        ]],
    },
];

describe("a placer", () => {
    for (const { name, table, steps } of cases) {
        it(name, () => {
            const fences = new HomeFences({ getHomeSliceOwner: () => ({ memberId: "home", epoch: table }) });
            const results = steps.map(([step], index) =>
                step.kind === "census" ?
                    fences.raiseFloor(SLICE, step.epoch, step.floor) :
                    fences.admit(
                        { homeSlice: SLICE, epoch: step.epoch, sequence: step.sequence },
                        step.attempt ?? `attempt-${index}`,
                    )
            );
            assert.deepEqual(results, steps.map(([, expected]) => expected));
        });
    }
});
