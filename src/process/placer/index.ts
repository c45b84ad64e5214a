/** The placer role: workers, and what runs on them. */
export { createPlacerRole, type OwnedPlacerRole, type PlacerOptions } from "./placer-role.js";
