/**
 * Runs gateways as local processes against stand-ins of the platform, injects random
 * faults from outside, and checks the guarantees that callers and replicas have.
 */
package org.burdocktray.soak;
