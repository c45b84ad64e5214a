/** A process with the stand-ins of the platform: store, VM list and workers on loopback. */
import { systemClock } from "../../src/common/clock.js";
import { startStoreStandIn, startVmListStandIn, startWorkerStandIn } from "../../src/stand-ins/index.js";
import type { PlatformArguments, PlatformReady } from "./messages.js";

const CAPACITY = { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 };
const DOMAINS = ["sala-milano", "sala-torino", "sala-verona", "sala-bologna"];
const RACK_SIZE = 6;

const { workers, slots }: PlatformArguments = JSON.parse(process.argv[2] ?? "{}");
const clock = systemClock;
const store = await startStoreStandIn({ clock });
const vmList = await startVmListStandIn({ clock });
const workerUrls: string[] = [];
for (let index = 0; index < workers; index++) {
    const workerId = `worker-${index}`;
    const worker = await startWorkerStandIn({
        clock,
        worker: { workerId, capacity: CAPACITY, slots, comparesEpochs: true },
    });
    const rack = Math.floor(index / RACK_SIZE);
    workerUrls.push(worker.url);
    vmList.model.put({
        workerId,
        url: worker.url,
        rack: `rack-${rack}`,
        failureDomain: DOMAINS[rack % DOMAINS.length] ?? "",
        state: "live",
    });
}
const ready: PlatformReady = { storeUrl: store.url, vmListUrl: vmList.url, workerUrls };
process.send?.(ready);
process.on("disconnect", () => process.exit(0));
