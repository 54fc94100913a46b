package org.wigeontally.emulator.limits;

/**
 * Result of a simulation. Immutable.
 *
 * @param brokenWindows windows of four seconds in which a backend server got more than
 * one and a half times its limit and five requests
 * @param worstShare requests of the worst window, divided by what it allows
 * @param usedShare requests to limited backend servers, divided by what the limits allow
 * @param servedShare served requests, divided by the most that could be served
 * @param falseRefusals requests rejected while a backend server had room
 * @param recoverMs time from the end of the limit until the backend servers get 0.9 of
 * their part of the requests; negative if they did not
 */
public record LimitResult(int brokenWindows, double worstShare, double usedShare, double servedShare, int falseRefusals,
		double recoverMs) {

}
