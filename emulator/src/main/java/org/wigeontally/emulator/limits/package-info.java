/**
 * Backend servers that name a limit for the requests of all entries together, in virtual
 * time through the real decisions.
 */
package org.wigeontally.emulator.limits;
