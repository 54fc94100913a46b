/**
 * Tests of the agents on the platform, against stand-ins of engines and the origin.
 */
package org.wigeontally.sidecar;
