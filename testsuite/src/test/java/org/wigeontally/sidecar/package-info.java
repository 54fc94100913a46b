/**
 * Tests of the sidecar agents against simulated engines and a simulated origin.
 */
package org.wigeontally.sidecar;
