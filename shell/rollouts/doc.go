// Package rollouts carries out the decisions on rollouts: it writes their records, and exchanges the nodes' counts and verdicts.
package rollouts
