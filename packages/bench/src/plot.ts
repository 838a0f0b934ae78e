/**
 * Draws bar charts as PNG images.
 */
import { writeFileSync } from "node:fs";
import { PNG } from "pngjs";
import { drawText, textWidth } from "./font.ts";

const WIDTH = 900;
const BAR_HEIGHT = 26;
const ROW_HEIGHT = 40;
const MARGIN = 30;
const TITLE_HEIGHT = 60;
const LABEL_WIDTH = 320;
const VALUE_WIDTH = 110;

/** Colour with components from 0 to 255. */
interface Colour {
  red: number;
  green: number;
  blue: number;
}

const TEXT_COLOUR: Colour = { red: 40, green: 40, blue: 48 };
const BAR_COLOUR: Colour = { red: 52, green: 120, blue: 180 };
const GOAL_COLOUR: Colour = { red: 200, green: 70, blue: 50 };

/** Bar with the label on its left and its value on the right. */
export interface Bar {
  label: string;
  value: number;
}

function fillArea(
  png: PNG,
  area: { x: number; y: number; width: number; height: number },
  colour: Colour,
): void {
  for (let y = area.y; y < area.y + area.height; y++) {
    for (let x = area.x; x < area.x + area.width; x++) {
      setPixel(png, x, y, colour);
    }
  }
}

function setPixel(png: PNG, x: number, y: number, colour: Colour): void {
  if (x < 0 || y < 0 || x >= png.width || y >= png.height) {
    return;
  }
  const offset = (Math.floor(y) * png.width + Math.floor(x)) * 4;
  png.data[offset] = colour.red;
  png.data[offset + 1] = colour.green;
  png.data[offset + 2] = colour.blue;
  png.data[offset + 3] = 255;
}

function writeText(png: PNG, text: string, options: { x: number; y: number; scale: number }): void {
  drawText(text, options, (x, y) => setPixel(png, x, y, TEXT_COLOUR));
}

/** Writes a chart with one horizontal bar below the other; a vertical line marks `goal`. */
export function drawBars(
  path: string,
  bars: Bar[],
  options: { title: string; goal?: number },
): void {
  const height = TITLE_HEIGHT + bars.length * ROW_HEIGHT + MARGIN;
  const png = new PNG({ width: WIDTH, height });
  fillArea(png, { x: 0, y: 0, width: WIDTH, height }, { red: 255, green: 255, blue: 255 });
  writeText(png, options.title, { x: MARGIN, y: 20, scale: 3 });
  const largest = Math.max(1e-9, options.goal ?? 0, ...bars.map((bar) => bar.value));
  const maxBarWidth = WIDTH - LABEL_WIDTH - VALUE_WIDTH - MARGIN;
  bars.forEach((bar, index) => {
    const y = TITLE_HEIGHT + index * ROW_HEIGHT;
    const width = Math.max(1, Math.round(maxBarWidth * bar.value / largest));
    const labelX = Math.max(5, LABEL_WIDTH - 12 - textWidth(bar.label, 2));
    writeText(png, bar.label, { x: labelX, y: y + 6, scale: 2 });
    fillArea(png, { x: LABEL_WIDTH, y, width, height: BAR_HEIGHT }, BAR_COLOUR);
    writeText(png, formatFigure(bar.value), { x: LABEL_WIDTH + width + 8, y: y + 6, scale: 2 });
  });
  if (options.goal !== undefined) {
    const x = LABEL_WIDTH + Math.round(maxBarWidth * options.goal / largest);
    fillArea(
      png,
      { x, y: TITLE_HEIGHT - 8, width: 2, height: bars.length * ROW_HEIGHT },
      GOAL_COLOUR,
    );
  }
  writeFileSync(path, PNG.sync.write(png));
}

/** Formats integers and figures from 1,000 without decimals, all others with three significant digits. */
export function formatFigure(value: number): string {
  if (Number.isInteger(value) || Math.abs(value) >= 1_000) {
    return String(Math.round(value));
  }
  return value.toPrecision(3);
}
