/**
 * A home that was paused wakes with orders in its send queue, after another took its slice, held its census and
 * started the same tasks elsewhere. If a placer took such an order, the task would run twice.
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
    /** Epoch of the home in the ownership table that the placer holds. */
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
        name: "takes the current home's orders",
        table: 2,
        steps: [[makeOrder(2, 1), true], [makeOrder(2, 2), true]],
    },
    { name: "refuses a home older than the table", table: 2, steps: [[makeOrder(1, 9), false]] },
    { name: "takes a home newer than the table", table: 2, steps: [[makeOrder(3, 1), true]] },
    {
        name: "refuses an older home after a census, whatever the table says",
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
        name: "admits an attempt once, also when it is sent again with another sequence",
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
                    fences.raise(SLICE, step.epoch, step.floor) :
                    fences.admit(
                        { homeSlice: SLICE, epoch: step.epoch, sequence: step.sequence },
                        step.attempt ?? `attempt-${index}`,
                    )
            );
            assert.deepEqual(results, steps.map(([, expected]) => expected));
        });
    }
});
