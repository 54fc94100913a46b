/**
 * Requests that crash the engines which answer them, in virtual time through the real
 * decisions.
 */
package org.wigeontally.emulator.harmful;
