/** The VM list port over a {@link VmListModel}. */
import type { Millis } from "../../common/clock.js";
import type { VmListPort, VmRecord } from "../../process/ports/index.js";
import type { VmListModel } from "../../stand-ins/index.js";
import type { CallPath } from "./call-path.js";

/** One member's access to the VM list. */
export class FakeVmListPort implements VmListPort {
    /**
     * @param model - The list that all members share.
     * @param path - The member's path to it, with its faults.
     */
    constructor(private readonly model: VmListModel, readonly path: CallPath) {}

    async list(timeout: Millis): Promise<readonly VmRecord[] | undefined> {
        const end = await this.path.request(() => this.model.list(), timeout);
        return end.kind === "answered" ? end.value : undefined;
    }
}
