/**
 * Tests of the distribution and activation of weights.
 */
package org.wigeontally.weights;
