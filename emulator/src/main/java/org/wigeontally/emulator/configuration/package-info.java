/**
 * How large configurations reach all entries, in virtual time through the real decisions
 * over links of limited bandwidth.
 */
package org.wigeontally.emulator.configuration;
