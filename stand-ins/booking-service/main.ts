/** Runs the booking service stand-in as a process. */
import * as standIns from "../process.js";
import * as bookingService from "./booking-service.js";

await standIns.run("booking-service", bookingService.createBookingService);
