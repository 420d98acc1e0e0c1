/**
 * Runs gateways as processes of this machine against stand-ins of the platform, disturbs
 * them from outside at random, and checks what callers and replicas see.
 */
package org.burdocktray.soak;
