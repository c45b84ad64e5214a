/** What a crowd of misbehaving clients is told to do. */
import type { PayloadName, PayloadTarget } from "./crowd-payloads.js";

/** What a crowd does. */
export interface CrowdOrder {
    readonly hostname: string;
    readonly port: number;
    readonly connections: number;
    readonly payload: PayloadName;
    readonly target: PayloadTarget;
}

/** How clients end their connections. */
export const ClientEnd = {
    /** They stay connected. */
    stay: "stay",
    /** They reset their connections. */
    reset: "reset",
    /** They say that they send no more, and read no answers. */
    halfClose: "halfClose",
} as const;
export type ClientEnd = (typeof ClientEnd)[keyof typeof ClientEnd];
