/** The placer role: workers, and what runs on them. */
export { createPlacerRole, type OwnedPlacerRole, type PlacerOptions } from "./placer-role.js";
export { ORDER_WINDOW_MS } from "./worker-clock.js";
