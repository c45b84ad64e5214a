/** Lists of any length that other programs send. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { listOf } from "../../common/list-schema.js";

describe("listOf", () => {
    const cases: readonly {
        readonly name: string;
        readonly input: unknown;
        readonly output: readonly number[] | undefined;
        readonly checked: number;
    }[] = [
        { name: "accepts a list", input: [1, 2, 3], output: [1, 2, 3], checked: 3 },
        { name: "accepts an empty list", input: [], output: [], checked: 0 },
        // Guards against a heap that overflowed with the faults of one list.
        { name: "stops at the first faulty element", input: [1, "a", "b", 4], output: undefined, checked: 2 },
        { name: "rejects what is no list", input: { 0: 1 }, output: undefined, checked: 0 },
    ];
    for (const { name, input, output, checked } of cases) {
        it(name, () => {
            let count = 0;
            const element = z.custom<number>(value => {
                count += 1;
                return typeof value === "number";
            });
            assert.deepEqual(listOf(element).safeParse(input).data, output);
            assert.equal(count, checked);
        });
    }
});
