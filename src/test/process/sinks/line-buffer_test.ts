/** The log never waits for its output: it buffers a bounded amount and drops the rest. */
import assert from "node:assert/strict";
import { closeSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { createDescriptorOutput, LineBuffer } from "../../../process/sinks/index.js";
import { FakeClock } from "../../fakes/fake-clock.js";

function openBuffer(maxBytes: number) {
    const batches: string[] = [];
    const waiting: (() => void)[] = [];
    const clock = new FakeClock();
    const buffer = new LineBuffer(clock, (bytes, finished) => {
        batches.push(bytes.toString());
        waiting.push(finished);
    }, maxBytes);
    return { clock, buffer, batches, finishWrite: () => waiting.shift()?.() };
}

describe("LineBuffer", () => {
    it("writes one batch at a time, in order", async () => {
        const { clock, buffer, batches, finishWrite } = openBuffer(100);
        buffer.write("a\n");
        buffer.write("b\n");
        await clock.step(20);
        buffer.write("c\n");
        await clock.step(20);
        assert.deepEqual(batches, ["a\nb\n"]);
        finishWrite();
        assert.deepEqual(batches, ["a\nb\n", "c\n"]);
        const flushed = buffer.flush();
        finishWrite();
        await flushed;
    });

    it("drops and counts lines that do not fit, and resumes when the output does", async () => {
        // The log collector stops reading. If the entry waited for it, all requests would hang; if it kept
        // all lines, it would run out of memory.
        const { clock, buffer, batches, finishWrite } = openBuffer(10);
        for (const line of ["12345\n", "123\n", "1\n"]) {
            buffer.write(line);
        }
        await clock.step(20);
        assert.deepEqual([batches, buffer.takeDropped()], [["12345\n123\n"], 1]);
        finishWrite();
        buffer.write("again\n");
        await clock.step(20);
        assert.deepEqual([batches.at(-1), buffer.takeDropped()], ["again\n", 0]);
    });

    it("writes whole lines in chunks that a pipe writes atomically", async () => {
        // When all workers report at once, hundreds of decisions are logged in one batch. A collector that
        // read less at a time than one write split a line and lost the rest, including the line that on-call
        // needed.
        const { clock, buffer, batches, finishWrite } = openBuffer(65_536);
        const lines = Array.from({ length: 100 }, (...[, index]) => `${String(index).padEnd(299, ".")}\n`);
        lines.forEach(line => buffer.write(line));
        await clock.step(20);
        for (let writes = 0; writes < lines.length; writes++) {
            finishWrite();
        }
        assert.equal(batches.join(""), lines.join(""));
        assert.ok(batches.every(batch => batch.length <= 4_096 && batch.endsWith("\n")));
    });

    it("reserves the last quarter for warnings", () => {
        const { buffer } = openBuffer(100);
        assert.equal(buffer.hasCapacityForDecision(), true);
        buffer.write("x".repeat(80));
        assert.equal(buffer.hasCapacityForDecision(), false);
        buffer.write("warning");
        assert.equal(buffer.takeDropped(), 1);
    });
});

describe("createDescriptorOutput", () => {
    it("writes all bytes, and discards them if the descriptor is not writable", async () => {
        const path = join(tmpdir(), `line-buffer-${process.pid}`);
        const descriptor = openSync(path, "w");
        const output = createDescriptorOutput(descriptor, new FakeClock());
        await new Promise<void>(resolve => {
            output(Buffer.from("line\n"), resolve);
        });
        closeSync(descriptor);
        assert.equal(readFileSync(path, "utf8"), "line\n");
        const readOnly = openSync(path, "r");
        await new Promise<void>(resolve => {
            createDescriptorOutput(readOnly, new FakeClock())(Buffer.from("lost\n"), resolve);
        });
        closeSync(readOnly);
        rmSync(path);
    });
});
