/** Checks what a process holds, and whom it serves, under a crowd of misbehaving clients. */
import assert from "node:assert/strict";
import { sleep, systemClock } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { ClientEnd } from "./crowd-order.js";
import type { PayloadName, PayloadTarget } from "./crowd-payloads.js";
import { startCrowd, watchProcess } from "./crowd.js";

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

const HOST = "127.0.0.1";
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
