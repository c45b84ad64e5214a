/** Checks what a process holds, and whom it serves, under a crowd of misbehaving clients. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { sleep, systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { ClientEnd } from "./crowd-order.js";
import type { PayloadName, PayloadTarget } from "./crowd-payloads.js";
import { HOST, startCrowd, watchProcess } from "./crowd.js";

/** A row of a table of crowds. */
export interface CrowdCase<Port extends string> {
    /** Name of the port that the crowd connects to. */
    readonly port: Port;
    readonly payload: PayloadName;
    readonly path: string;
    /** Defaults to the address of the server. */
    readonly host?: string;
    readonly connections: number;
    readonly end: ClientEnd;
    /** The failure that the case guards against. */
    readonly guards: string;
}

/** The process that a crowd presses on, and the bounds that it must keep. */
export interface ProcessUnderTest {
    readonly pid: number;
    readonly port: number;
    readonly target: PayloadTarget;
    readonly maxMemoryMib: number;
    readonly maxDescriptors: number;
    /** Returns whether ordinary clients are answered at each port that has any. */
    isServing(): Promise<boolean>;
    /** Returns how the process ended; undefined while it lives. */
    getExit(): string | undefined;
}

/** A table of crowds against one program. */
export interface CrowdTable<Port extends string> {
    readonly name: string;
    readonly cases: readonly CrowdCase<Port>[];
    /** Builds the program that all cases start. */
    readonly buildProgram: (path: string) => void;
    /**
     * Checks one case.
     * @param folder - For settings and logs; it is kept if a case fails.
     * @param name - Unique within the folder.
     */
    readonly checkCase: (
        crowd: CrowdCase<Port>,
        program: string,
        folder: string,
        name: string,
    ) => Promise<void>;
}

/** How long a crowd presses before anything is checked. */
const PRESS_MS: Millis = 4_000;

/** Presses on a process and checks that it lives, keeps its bounds and serves beside the crowd and after it. */
export async function checkCrowd(
    { connections, payload, end }: CrowdCase<string>,
    subject: ProcessUnderTest,
): Promise<void> {
    const { maxMemoryMib, maxDescriptors, port, target } = subject;
    const watch = watchProcess(subject.pid);
    const crowd = startCrowd({ hostname: HOST, port, connections, payload, target });
    await sleep(systemClock, PRESS_MS);
    crowd.endClients(end);
    const isServedMeanwhile = await subject.isServing();
    await crowd.close();
    const isServedAfterwards = await subject.isServing();
    const peak = await watch.stop();
    assert.equal(subject.getExit(), undefined, "the process ended");
    assert.ok(isServedMeanwhile, "an ordinary request beside the crowd was not answered");
    assert.ok(isServedAfterwards, "an ordinary request after the crowd was not answered");
    assert.ok(peak.memoryKib <= maxMemoryMib * 1_024, `${peak.memoryKib} KiB of ${maxMemoryMib} MiB`);
    assert.ok(peak.descriptors <= maxDescriptors, `${peak.descriptors} of ${maxDescriptors} descriptors`);
}

/** Declares the tests of a table. */
export function installCrowdTests<Port extends string>(table: CrowdTable<Port>): void {
    let folder: string;
    let program: string;
    let passed = 0;
    before(() => {
        folder = mkdtempSync(join(tmpdir(), "cactusrack-crowds-"));
        program = join(folder, "program.cjs");
        table.buildProgram(program);
    });
    after(() => {
        if (passed === table.cases.length) {
            rmSync(folder, { recursive: true, force: true });
        }
    });
    describe(table.name, () => {
        for (const [index, crowd] of table.cases.entries()) {
            const { connections, payload, port, path, host = HOST, end, guards } = crowd;
            it(`${connections} x ${payload} at ${port} ${host}${path}, ${end}: not that ${guards}`, async () => {
                await table.checkCase(crowd, program, folder, `case-${index}`);
                passed += 1;
            });
        }
    });
}
