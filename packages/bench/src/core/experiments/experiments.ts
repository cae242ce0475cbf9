import type { Experiment } from '../../types/experiments.js'
import { freeze } from './freeze.js'
import { inForce } from './inForce.js'
import { kill } from './kill.js'
import { rolling } from './rolling.js'
import { storeDown } from './storeDown.js'
import { upstreams } from './upstreams.js'

/** All experiments. */
export const EXPERIMENTS: readonly Experiment[] = [rolling, kill, freeze, inForce, storeDown, upstreams]
