/** The placer role: manages the workers of the owned slices and the work that runs on them. */
export { createPlacerRole, type OwnedPlacerRole, type PlacerOptions } from "./placer-role.js";
export { ORDER_WINDOW_MS } from "./worker-clock.js";
